package org.verbenamast.relay.store;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.watch.OperatorRow;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.platform.StoreMessage.RawRow;

import static org.assertj.core.api.Assertions.assertThat;

class OperatorRowsTest {

    private static RawRow row(String key, long version, boolean exists) {
        Optional<byte[]> value = exists ? Optional.of(new byte[] {'{', '}'}) : Optional.empty();
        return new RawRow(StoreMessage.OPERATORS_TABLE, key, version, value);
    }

    @Test
    void should_keep_to_the_other_rows_when_one_names_no_zone() {
        // given
        RawRow odd = row(StoreMessage.ZONE_OUT_KEY, 6, true);
        RawRow zone = row(StoreMessage.ZONE_OUT_KEY + "amman-a", 7, true);

        // when
        List<OperatorRow> rows = OperatorRows.decode(List.of(odd, zone));

        // then
        assertThat(rows).containsExactly(new OperatorRow.ZoneRow(7, new Zone("amman-a"), true));
    }

    @Test
    void should_keep_to_the_other_rows_when_the_manifest_is_unreadable() {
        // given
        RawRow odd = row(StoreMessage.MANIFEST_KEY, 6, true);
        RawRow zone = row(StoreMessage.ZONE_OUT_KEY + "amman-a", 7, false);

        // when
        List<OperatorRow> rows = OperatorRows.decode(List.of(odd, zone));

        // then
        assertThat(rows).containsExactly(new OperatorRow.ZoneRow(7, new Zone("amman-a"), false));
    }
}
