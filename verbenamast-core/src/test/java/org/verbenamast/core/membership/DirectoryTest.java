package org.verbenamast.core.membership;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.store.Row;

import static org.assertj.core.api.Assertions.assertThat;

class DirectoryTest {

    private static final MemberId ONE = Rows.member(1);
    private static final MemberId TWO = Rows.member(2);

    private final Directory directory = new Directory(List.of(Rows.STOCK));

    static List<Arguments> faults() {
        Row chunk = Rows.chunkRow(0, 5, ONE, 3);
        Row member = Rows.memberRow(ONE, MemberStatus.ENDED, 5);
        ChunkRow small = new ChunkRow(Rows.STOCK.name(), 0, List.of(), "operation");
        return List.of(
                Arguments.of(RowFault.STALE, chunk, Rows.chunkRow(0, 4, TWO, 4)),
                Arguments.of(RowFault.CONTRADICTORY, chunk, Rows.chunkRow(0, 5, TWO, 4)),
                Arguments.of(
                        RowFault.MISPLACED,
                        chunk,
                        new Row(chunk.key(), 6, Rows.chunkRow(1, 6, TWO, 4).value())),
                Arguments.of(RowFault.MISSHAPEN, chunk, new Row(chunk.key(), 6, small)),
                Arguments.of(RowFault.EPOCH_REVERTED, chunk, Rows.chunkRow(0, 6, TWO, 2)),
                Arguments.of(RowFault.REVIVED, member, Rows.memberRow(ONE, MemberStatus.ACTIVE, 6)));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void should_refuse_and_count_a_row_when_it_has_a_fault(RowFault fault, Row known, Row faulty) {
        directory.apply(known);
        List<Long> before = directory.digest().buckets();
        assertThat(directory.apply(faulty)).isFalse();
        assertThat(directory.refusals(fault)).isEqualTo(1);
        assertThat(directory.row(known.key())).isEqualTo(known);
        assertThat(directory.digest().buckets()).isEqualTo(before);
    }

    @Test
    void should_count_no_fault_when_the_same_row_comes_twice() {
        directory.apply(Rows.chunkRow(0, 5, ONE, 3));
        assertThat(directory.apply(Rows.chunkRow(0, 5, ONE, 3))).isFalse();
        assertThat(RowFault.values()).allMatch(fault -> directory.refusals(fault) == 0);
    }

    @Test
    void should_have_the_same_digest_when_rows_come_in_another_order() {
        Directory other = new Directory(List.of(Rows.STOCK));
        List<Row> rows = List.of(
                Rows.memberRow(ONE, MemberStatus.ACTIVE, 1),
                Rows.chunkRow(0, 1, ONE, 1),
                Rows.memberRow(ONE, MemberStatus.ENDED, 2),
                Rows.chunkRow(0, 2, TWO, 2));
        rows.forEach(directory::apply);
        IntStream.iterate(rows.size() - 1, i -> i >= 0, i -> i - 1).forEach(i -> other.apply(rows.get(i)));
        assertThat(directory.digest().buckets()).isEqualTo(other.digest().buckets());
        assertThat(directory.digest().total()).isEqualTo(other.digest().total());
    }

    @Test
    void should_leave_ended_members_out_of_the_digest_when_no_grant_names_them() {
        long empty = directory.digest().total();
        directory.apply(Rows.memberRow(ONE, MemberStatus.ENDED, 2));
        assertThat(directory.digest().total()).isEqualTo(empty);
        directory.apply(Rows.chunkRow(0, 1, ONE, 1));
        Set<String> covered = directory.rowsIn(allBuckets()).stream()
                .map(row -> row.key().toString())
                .collect(Collectors.toSet());
        assertThat(covered).containsExactlyInAnyOrder("MEMBERS/stock-1~1", "CHUNKS/stock.0");
    }

    @Test
    void should_keep_an_ended_member_when_a_grant_names_it() {
        Tombstones tombstones = new Tombstones(directory);
        Row ended = Rows.memberRow(ONE, MemberStatus.ENDED, 2);
        directory.apply(ended);
        directory.apply(Rows.chunkRow(0, 1, ONE, 1));
        tombstones.onRow(ended, 0);
        tombstones.advance(DAY_NANOS);
        assertThat(directory.hasEnded(ONE)).isTrue();
        directory.apply(Rows.chunkRow(0, 2, TWO, 2));
        tombstones.advance(2 * DAY_NANOS - 1);
        assertThat(directory.member(ONE)).isNotNull();
        tombstones.advance(2 * DAY_NANOS);
        assertThat(directory.member(ONE)).isNull();
    }

    private static final long DAY_NANOS = java.time.Duration.ofDays(1).toNanos();

    private static Set<Integer> allBuckets() {
        return IntStream.range(0, RowDigest.BUCKETS).boxed().collect(Collectors.toSet());
    }
}
