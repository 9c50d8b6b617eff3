package org.verbenamast.core.rows;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreVersionTest {

    private static StoreEffect.Commit commit(long expectedVersion) {
        RowChange change = new RowChange(new RowRef(RowTable.MEMBERS, "node"), expectedVersion, Optional.empty());
        return new StoreEffect.Commit(StorePurpose.MEMBERSHIP, 1, List.of(change));
    }

    @Test
    void should_order_versions_by_era_first_when_they_are_packed() {
        assertThat(new StoreVersion(0, 500).packed()).isEqualTo(500);
        assertThat(new StoreVersion(1, 1).packed())
                .isGreaterThan(new StoreVersion(0, StoreVersion.MAX_NUMBER).packed());
        assertThat(StoreVersion.ofPacked(new StoreVersion(7, 500).packed())).isEqualTo(new StoreVersion(7, 500));
        StoreVersion last = new StoreVersion(StoreVersion.MAX_ERA, StoreVersion.MAX_NUMBER);
        assertThat(StoreVersion.ofPacked(last.packed())).isEqualTo(last);
    }

    @Test
    void should_ignore_answers_of_a_lower_era_when_a_store_answers_with_two_eras_in_turn() {
        // given
        StoreEra era = StoreEra.NONE.after(OptionalLong.of(2)).after(OptionalLong.of(1));

        // then
        assertThat(era).isEqualTo(new StoreEra(2));
        assertThat(era.accepts(OptionalLong.of(1))).isFalse();
        assertThat(era.accepts(OptionalLong.of(2))).isTrue();
        assertThat(era.accepts(OptionalLong.empty())).isTrue();
    }

    @Test
    void should_not_believe_a_transaction_when_its_conditions_are_versions_of_another_era() {
        StoreEra era = new StoreEra(1);

        assertThat(era.covers(commit(500))).isFalse();
        assertThat(era.covers(commit(new StoreVersion(1, 500).packed()))).isTrue();
        assertThat(era.covers(commit(0))).isTrue();
    }
}
