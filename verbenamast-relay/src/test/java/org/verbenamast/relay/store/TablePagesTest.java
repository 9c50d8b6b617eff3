package org.verbenamast.relay.store;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.platform.StoreMessage.RawRow;
import org.verbenamast.platform.StoreMessage.Rows;

import static org.assertj.core.api.Assertions.assertThat;

class TablePagesTest {

    private static final ResponseTiming TIMING = ResponseTiming.of(1);

    private static Rows page(long version, String key) {
        RawRow row = new RawRow(StoreMessage.OPERATORS_TABLE, key, version, Optional.empty());
        return new Rows(List.of(row), List.of(), version, true);
    }

    /** Guards against a row that changes between two pages and is never asked for again. */
    @Test
    void should_have_the_version_of_the_first_page_when_the_table_changes_between_pages() {
        // when
        TablePages pages =
                new TablePages(List.of(), 0, TIMING).with(page(7, "a"), TIMING).with(page(9, "b"), TIMING);

        // then
        assertThat(pages.version()).isEqualTo(7);
        assertThat(pages.rows()).extracting(RawRow::key).containsExactly("a", "b");
        assertThat(pages.lastKey()).isEqualTo("b");
    }
}
