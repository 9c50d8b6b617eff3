package org.verbenamast.wire.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.AdmissionRequest;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.entry.EntryRequest;
import org.verbenamast.core.gate.crash.CrashReport;
import org.verbenamast.core.gate.crash.CrashReports;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.keys.KeyLeaseRow;
import org.verbenamast.core.keys.KeyLoadReport;
import org.verbenamast.core.keys.KeyMap;
import org.verbenamast.core.keys.KeyRange;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.manifest.Route;
import org.verbenamast.core.manifest.Split;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoreVersion;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.wire.WireException;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.generated.RelayNews;
import org.verbenamast.wire.generated.RelayOpen;
import org.verbenamast.wire.generated.RelayRow;
import org.verbenamast.wire.generated.RelayRows;

import static org.assertj.core.api.Assertions.assertThat;

class RelayFramesTest {

    private static final StoreVersions NEWS = new StoreVersions(7, 250, 9);
    private static final ServerIncarnation LIFE = new ServerIncarnation("i-1", 77);
    private static final Member MEMBER =
            new Member("node-1", new Address("127.0.0.1", 7), new Zone("a"), "stock", LIFE, 9, ServerState.READY);

    private static final Function<RowRef, StoredRow> UNKNOWN = ref -> new StoredRow(ref, 0, Optional.empty());

    private static RelayOpen open(OptionalInt key) {
        Route route =
                new Route("r", "h", "/", RequestKind.UNSAFE, 1_000, 300, 3, 2, false, List.of(new Split("stock", 1)));
        EntryRequest request = new EntryRequest(
                1, "attempt", route, "stock", key, 0, Timing.millisToNanos(300), Timing.millisToNanos(1_000));
        return RelayFrames.open(request, MEMBER, true, NEWS, Timing.millisToNanos(100))
                .build();
    }

    @Test
    void should_keep_the_time_that_is_left_when_a_request_crosses_to_another_clock() {
        // when
        AdmissionRequest request = RelayFrames.request(5, open(OptionalInt.of(42)), Timing.millisToNanos(9_000))
                .get();

        // then
        assertThat(request)
                .isEqualTo(new AdmissionRequest(
                        5,
                        "attempt",
                        "r",
                        "stock",
                        LIFE,
                        RequestKind.UNSAFE,
                        3,
                        OptionalInt.of(42),
                        true,
                        Timing.millisToNanos(9_000),
                        Timing.millisToNanos(9_200),
                        Timing.millisToNanos(9_900)));
    }

    @Test
    void should_name_the_fault_when_a_request_holds_impossible_values() {
        // given
        RelayOpen oddKind = open(OptionalInt.empty()).toBuilder().setKind(99).build();
        RelayOpen noServer =
                open(OptionalInt.empty()).toBuilder().setServerId("").build();

        // then
        assertThat(RelayFrames.request(1, oddKind, 0).isLeft()).isTrue();
        assertThat(RelayFrames.request(1, noServer, 0).isLeft()).isTrue();
    }

    @Test
    void should_keep_reason_and_load_when_a_request_is_refused() {
        // given
        AdmissionLoad load = new AdmissionLoad(3, 4, 9, 120, true, false);

        // when
        RelayFrame frame = RelayFrames.refused(Refusal.COLD, 250, load, NEWS);

        // then
        assertThat(RelayFrames.reason(frame.getRefused())).isEqualTo(Refusal.COLD);
        assertThat(frame.getRefused().getRetryAfterMillis()).isEqualTo(250);
        assertThat(RelayFrames.load(frame.getRefused().getLoad())).isEqualTo(load);
        assertThat(RelayFrames.news(frame.getRefused().getLoad().getNews())).isEqualTo(NEWS);
    }

    @Test
    void should_keep_busy_keys_when_they_are_reported() {
        // given
        KeyLoadReport report = new KeyLoadReport("stock", LIFE, 9, 120, false, List.of(1, 1, 65_535));

        // then
        assertThat(RelayFrames.heat(RelayFrames.heat(report).getHeat())).isEqualTo(report);
    }

    @Test
    void should_keep_each_kind_of_row_when_rows_are_told() {
        // given
        KeyMap map = KeyMap.vacant("stock")
                .move(new KeyRange(0, 999), LIFE)
                .move(new KeyRange(100, 199), new ServerIncarnation("i-2", 0));
        List<StoredRow> rows = List.of(
                new StoredRow(new RowRef(RowTable.MEMBERS, "node-1"), 4, Optional.of(MEMBER)),
                new StoredRow(new RowRef(RowTable.KEYS, "stock"), 5, Optional.of(map)),
                new StoredRow(new RowRef(RowTable.LEASES, "i-1@77"), 6, Optional.of(new KeyLeaseRow(LIFE, 8, 2))),
                new StoredRow(
                        new RowRef(RowTable.CRASHES, "node-1"),
                        6,
                        Optional.of(new CrashReports(List.of(new CrashReport(
                                "i-1@77", List.of(new Fingerprint(-5), new Fingerprint(Long.MAX_VALUE))))))),
                new StoredRow(new RowRef(RowTable.MEMBERS, "node-2"), 7, Optional.empty()));
        List<WireException> refused = new ArrayList<>();

        // when
        List<StoredRow> told = RelayFrames.rows(RelayFrames.rows(rows).getRows(), UNKNOWN, refused::add);

        // then
        assertThat(told).isEqualTo(rows);
        assertThat(refused).isEmpty();
    }

    @Test
    void should_leave_out_and_report_what_can_not_be_read_when_rows_are_told() {
        // given
        RelayRows message = RelayRows.newBuilder()
                .addRows(RelayRow.newBuilder().setTable("odd").setKey("k").setVersion(1))
                .addRows(RelayRow.newBuilder().setTable("keys").setKey("k").setVersion(1))
                .build();
        List<WireException> refused = new ArrayList<>();

        // when
        List<StoredRow> told = RelayFrames.rows(message, UNKNOWN, refused::add);

        // then
        assertThat(told).isEmpty();
        assertThat(refused).hasSize(2);
    }

    @Test
    void should_leave_out_rows_when_they_are_known_in_a_version_as_new() {
        // given
        RowRef ref = new RowRef(RowTable.MEMBERS, "node-1");
        List<StoredRow> rows = List.of(new StoredRow(ref, 4, Optional.of(MEMBER)));

        // then
        assertThat(RelayFrames.rows(
                        RelayFrames.rows(rows).getRows(),
                        known -> new StoredRow(known, 4, Optional.empty()),
                        fault -> {}))
                .isEmpty();
        assertThat(RelayFrames.rows(
                        RelayFrames.rows(rows).getRows(),
                        known -> new StoredRow(known, 3, Optional.empty()),
                        fault -> {}))
                .isEqualTo(rows);
    }

    @Test
    void should_tell_nothing_when_the_news_hold_numbers_that_no_node_sends() {
        RelayNews forged = RelayNews.newBuilder()
                .setOperatorsVersion(7)
                .setOperatorsAgeMillis(-1)
                .build();

        assertThat(RelayFrames.news(forged)).isEqualTo(StoreVersions.NONE);
        assertThat(RelayFrames.news(RelayNews.getDefaultInstance())).isEqualTo(StoreVersions.NONE);
    }

    @Test
    void should_keep_the_era_when_versions_and_rows_are_told() {
        // given
        StoreVersions news = new StoreVersions(new StoreVersion(3, 40).packed(), 7, new StoreVersion(3, 41).packed());
        List<StoredRow> rows = List.of(new StoredRow(
                new RowRef(RowTable.MEMBERS, "node-1"), new StoreVersion(3, 4).packed(), Optional.of(MEMBER)));

        // then
        AdmissionLoad load = new AdmissionLoad(3, 4, 9, 120, true, false);
        RelayNews told = RelayFrames.refused(Refusal.COLD, 250, load, news)
                .getRefused()
                .getLoad()
                .getNews();
        assertThat(told.getOperatorsVersion()).isEqualTo(40);
        assertThat(RelayFrames.news(told)).isEqualTo(news);
        assertThat(RelayFrames.rows(RelayFrames.rows(rows).getRows(), UNKNOWN, fault -> {}))
                .isEqualTo(rows);
    }

    @Test
    void should_tell_nothing_when_an_era_is_none_that_a_version_can_be_of() {
        RelayNews forged = RelayNews.newBuilder()
                .setOperatorsVersion(7)
                .setStoreEra(StoreVersion.MAX_ERA + 1)
                .build();
        RelayRows message = RelayRows.newBuilder()
                .setStoreEra(-1)
                .addRows(RelayRow.newBuilder().setTable("members").setKey("k").setVersion(1))
                .build();

        assertThat(RelayFrames.news(forged)).isEqualTo(StoreVersions.NONE);
        assertThat(RelayFrames.rows(message, UNKNOWN, fault -> {})).isEmpty();
    }
}
