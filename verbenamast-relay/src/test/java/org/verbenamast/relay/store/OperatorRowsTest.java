package org.verbenamast.relay.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.FollowEvent;
import org.verbenamast.core.watch.FollowInput;
import org.verbenamast.core.watch.FollowedTable;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.platform.StoreMessage.RawRow;

import static org.assertj.core.api.Assertions.assertThat;

class OperatorRowsTest {

    private static final Zone ZONE = new Zone("amman-a");

    private final List<Set<Zone>> reported = new ArrayList<>();
    private final OperatorRows rows = new OperatorRows(new RecordingObserver());

    private static RawRow zone(long version, boolean evacuated) {
        Optional<byte[]> value = evacuated ? Optional.of(new byte[] {'{', '}'}) : Optional.empty();
        return new RawRow(StoreMessage.OPERATORS_TABLE, StoreMessage.ZONE_OUT_KEY + ZONE.name(), version, value);
    }

    private Set<Zone> lastReported() {
        return reported.get(reported.size() - 1);
    }

    @Test
    void should_keep_a_zone_in_service_when_an_earlier_call_is_answered_late() {
        // given
        rows.applyAll(List.of(), 3);
        rows.applyChanges(List.of(zone(5, true)));
        assertThat(lastReported()).containsExactly(ZONE);
        rows.applyChanges(List.of(zone(8, false)));

        // when
        rows.applyChanges(List.of(zone(5, true)));

        // then
        assertThat(lastReported()).isEmpty();
    }

    @Test
    void should_keep_a_zone_out_when_an_earlier_call_is_answered_after_all_rows_were_read() {
        // given
        rows.applyAll(List.of(zone(7, true)), 9);

        // when
        rows.applyChanges(List.of(zone(4, false)));

        // then
        assertThat(lastReported()).containsExactly(ZONE);
    }

    @Test
    void should_keep_known_rows_when_a_full_read_is_older() {
        // given
        rows.applyAll(List.of(), 3);
        rows.applyChanges(List.of(zone(12, true)));

        // when
        rows.applyAll(List.of(), 9);

        // then
        assertThat(lastReported()).containsExactly(ZONE);
    }

    @Test
    void should_keep_to_the_other_rows_when_one_names_no_zone() {
        // given
        RawRow odd = new RawRow(
                StoreMessage.OPERATORS_TABLE, StoreMessage.ZONE_OUT_KEY, 6, Optional.of(new byte[] {'{', '}'}));

        // when
        rows.applyAll(List.of(odd, zone(7, true)), 9);

        // then
        assertThat(lastReported()).containsExactly(ZONE);
    }

    private final class RecordingObserver implements StoreObserver {

        @Override
        public void onEvacuatedZones(Set<Zone> zones) {
            reported.add(zones);
        }

        @Override
        public StoredRow knownRow(RowRef ref) {
            return new StoredRow(ref, 0, Optional.empty());
        }

        @Override
        public void onStoreResult(StorePurpose purpose, long callId, StoreResult result) {}

        @Override
        public void onFollowResult(FollowedTable table, long callId, FollowEvent event, FollowInput input) {}

        @Override
        public void onChangedRows(List<StoredRow> changed) {}

        @Override
        public void onAllRows(List<StoredRow> all, long version) {}

        @Override
        public void onManifest(Manifest manifest) {}
    }
}
