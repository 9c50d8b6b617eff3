package org.verbenamast.core.rows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.keys.KeyMap;

import static org.assertj.core.api.Assertions.assertThat;

class RowReplicaTest {

    private static final RowRef REF = new RowRef(RowTable.KEYS, "stock");
    private static final Optional<RowContent> MAP = Optional.of(KeyMap.vacant("stock"));
    private static final Optional<RowContent> UNREADABLE = Optional.of(UnreadableRow.INSTANCE);

    private final List<StoredRow> reported = new ArrayList<>();
    private final RowReplica replica = new RowReplica(reported::add);

    @Test
    void should_keep_the_known_content_under_the_new_version_when_a_row_has_become_unreadable() {
        // given
        replica.apply(List.of(new StoredRow(REF, 4, MAP)));

        // when
        replica.apply(List.of(new StoredRow(REF, 7, UNREADABLE)));

        // then
        assertThat(replica.find(REF)).isEqualTo(new StoredRow(REF, 7, MAP));
        assertThat(reported).hasSize(1);
    }

    @Test
    void should_know_the_version_of_a_row_when_it_has_never_been_readable() {
        // when
        replica.apply(List.of(new StoredRow(REF, 7, UNREADABLE)));

        // then
        assertThat(replica.find(REF).expectedVersion()).isEqualTo(7);
        assertThat(replica.find(REF).content()).isEqualTo(UNREADABLE);
    }

    @Test
    void should_forget_an_unreadable_row_when_it_is_deleted() {
        // given
        replica.apply(List.of(new StoredRow(REF, 4, MAP), new StoredRow(REF, 7, UNREADABLE)));

        // when
        replica.apply(List.of(new StoredRow(REF, 8, Optional.empty())));

        // then
        assertThat(replica.find(REF).content()).isEmpty();
    }
}
