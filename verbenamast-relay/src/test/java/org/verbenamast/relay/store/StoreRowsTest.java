package org.verbenamast.relay.store;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.rows.UnreadableRow;
import org.verbenamast.platform.StoreMessage.RawRow;

import static org.assertj.core.api.Assertions.assertThat;

/** Rows that another writer has left among those of the members. */
class StoreRowsTest {

    private static final String MEMBER = "{\"node\":\"%s\",\"peer\":\"%s\",\"zone\":\"a\",\"service\":\"s\","
            + "\"server\":[\"i-1\",%s],\"slots\":%s,\"state\":\"READY\"}";

    private static RawRow row(String key, String value) {
        return new RawRow(StoreRows.SHARED_TABLE, key, 5, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
    }

    private static RawRow good() {
        return row("members/good", MEMBER.formatted("good", "10.0.0.1:7600", "7", "9"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "members", "members/", "members/  ", "/", "odd/key"})
    void should_skip_a_row_when_its_key_is_odd(String key) {
        assertThat(StoreRows.decode(List.of(row(key, "{}"), good())))
                .extracting(found -> found.ref().key())
                .containsExactly("good");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "not json",
                "[]",
                "{}",
                "null",
                "{\"node\":\"x\",\"peer\":\"10.0.0.1:70000\",\"zone\":\"a\",\"service\":\"s\","
                        + "\"server\":[\"i-1\",7],\"slots\":9,\"state\":\"READY\"}",
                "{\"node\":\"x\",\"peer\":\"10.0.0.1:-1\",\"zone\":\"a\",\"service\":\"s\","
                        + "\"server\":[\"i-1\",7],\"slots\":9,\"state\":\"READY\"}",
                "{\"node\":\"x\",\"peer\":\"no-number.example:80\",\"zone\":\"a\",\"service\":\"s\","
                        + "\"server\":[\"i-1\",7],\"slots\":9,\"state\":\"READY\"}",
                "{\"node\":\"x\",\"peer\":\"10.0.0.1:7600\",\"zone\":\"a\",\"service\":\"s\","
                        + "\"server\":[\"i-1\",7],\"slots\":4294967305,\"state\":\"READY\"}",
                "{\"node\":\"x\",\"peer\":\"10.0.0.1:7600\",\"zone\":\"a\",\"service\":\"s\","
                        + "\"server\":[\"i-1\",7],\"slots\":\"9\",\"state\":\"READY\"}",
                "{\"node\":\"x\",\"peer\":\"10.0.0.1:7600\",\"zone\":\"a\",\"service\":\"s\","
                        + "\"server\":[\"i-1\",1e400],\"slots\":9,\"state\":\"READY\"}",
                "{\"node\":\"x\",\"peer\":\"10.0.0.1:7600\",\"zone\":\"a\",\"service\":\"s\","
                        + "\"server\":{},\"slots\":9,\"state\":\"READY\"}",
                "{\"node\":\"another\",\"peer\":\"10.0.0.1:7600\",\"zone\":\"a\",\"service\":\"s\","
                        + "\"server\":[\"i-1\",7],\"slots\":9,\"state\":\"READY\"}"
            })
    void should_mark_only_the_odd_row_as_unreadable_when_its_content_is_odd(String value) {
        // when
        List<StoredRow> rows = StoreRows.decode(List.of(row("members/x", value), good()));

        // then
        assertThat(rows).hasSize(2);
        assertThat(rows.get(0).content()).contains(UnreadableRow.INSTANCE);
        assertThat(rows.get(0).expectedVersion()).isEqualTo(5);
        assertThat(rows.get(1).content()).containsInstanceOf(Member.class);
    }

    @Test
    void should_mark_a_row_as_unreadable_when_it_is_nested_very_deeply() {
        // given
        String deep = "{\"node\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}";

        // then
        assertThat(StoreRows.decode(List.of(row("members/x", deep))).get(0).content())
                .contains(UnreadableRow.INSTANCE);
    }
}
