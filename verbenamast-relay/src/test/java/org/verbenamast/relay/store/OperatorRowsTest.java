package org.verbenamast.relay.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.model.Zone;
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

    private final List<Set<Zone>> told = new ArrayList<>();
    private final OperatorRows rows = new OperatorRows(new Told());

    private static RawRow zone(long version, boolean out) {
        Optional<byte[]> value = out ? Optional.of(new byte[] {'{', '}'}) : Optional.empty();
        return new RawRow(StoreMessage.OPERATORS_TABLE, StoreMessage.ZONE_OUT_KEY + ZONE.name(), version, value);
    }

    private Set<Zone> last() {
        return told.get(told.size() - 1);
    }

    @Test
    void should_keep_a_zone_in_service_when_an_earlier_call_is_answered_late() {
        // given
        rows.all(List.of(), 3);
        rows.changed(List.of(zone(5, true)));
        assertThat(last()).containsExactly(ZONE);
        rows.changed(List.of(zone(8, false)));

        // when
        rows.changed(List.of(zone(5, true)));

        // then
        assertThat(last()).isEmpty();
    }

    @Test
    void should_keep_a_zone_out_when_an_earlier_call_is_answered_after_all_rows_were_read() {
        // given
        rows.all(List.of(zone(7, true)), 9);

        // when
        rows.changed(List.of(zone(4, false)));

        // then
        assertThat(last()).containsExactly(ZONE);
    }

    @Test
    void should_keep_what_is_known_when_a_reading_is_older() {
        // given
        rows.all(List.of(), 3);
        rows.changed(List.of(zone(12, true)));

        // when
        rows.all(List.of(), 9);

        // then
        assertThat(last()).containsExactly(ZONE);
    }

    private final class Told implements StoreObserver {

        @Override
        public void zonesOut(Set<Zone> zones) {
            told.add(zones);
        }

        @Override
        public void stored(StorePurpose purpose, long ticket, StoreResult result) {}

        @Override
        public void followed(FollowedTable table, long ticket, FollowEvent event, FollowInput input) {}

        @Override
        public void changed(List<StoredRow> changed) {}

        @Override
        public void readAll(List<StoredRow> all, long version) {}

        @Override
        public void manifest(Manifest manifest) {}
    }
}
