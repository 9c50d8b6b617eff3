package org.verbenamast.core.relay;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.backend.ServerNotice;
import org.verbenamast.core.gate.crash.CrashReport;
import org.verbenamast.core.gate.crash.CrashReports;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreVersion;
import org.verbenamast.core.rows.VirtualRows;
import org.verbenamast.core.watch.OperatorRow;

import static org.assertj.core.api.Assertions.assertThat;

/** What a node believes and writes again when the store comes back from an older copy, one kind of state each. */
class NewEraTest extends ServerNoticeFixture {

    private static final Zone OWN_ZONE = new Zone("a");
    private static final Fingerprint CRASHING = new Fingerprint(7);

    /** Lets the store be away for a second and come back from a copy. */
    private void comeBackFrom(VirtualRows.Copy copy) {
        relay.setStoreReachable(false);
        relay.run(1_000);
        relay.store.comeBackFrom(copy);
        relay.setStoreReachable(true);
    }

    private OperatorRow manifestRow(long era, long number, long version) {
        return new OperatorRow.ManifestRow(new StoreVersion(era, number).packed(), relay.manifest(version));
    }

    private OperatorRow evacuation(long era, long number) {
        return new OperatorRow.ZoneRow(new StoreVersion(era, number).packed(), OWN_ZONE, true);
    }

    private void writeCrashes(String node, long expectedVersion) {
        CrashReports reports = new CrashReports(
                List.of(new CrashReport("i-8@1", List.of(CRASHING)), new CrashReport("i-9@1", List.of(CRASHING))));
        RowChange change = new RowChange(new RowRef(RowTable.CRASHES, node), expectedVersion, Optional.of(reports));
        relay.store.execute(new StoreEffect.Commit(StorePurpose.MEMBERSHIP, 1, List.of(change)));
    }

    @Test
    void should_apply_a_newer_manifest_when_its_row_has_a_lower_version_than_the_lost_one() {
        // given
        startServer(FIRST);
        VirtualRows.Copy copy = relay.store.copy();
        relay.setOperatorRows(manifestRow(0, 900, 5));
        relay.run(14_000);
        assertThat(relay.manifestVersion()).isEqualTo(5);

        // when
        relay.setOperatorRows(manifestRow(1, 1, 6));
        comeBackFrom(copy);
        relay.run(3_000);

        // then
        assertThat(relay.manifestVersion()).isEqualTo(6);
    }

    @Test
    void should_keep_the_manifest_in_force_when_the_copy_has_an_older_one() {
        // given
        startServer(FIRST);
        VirtualRows.Copy copy = relay.store.copy();
        relay.setOperatorRows(manifestRow(0, 900, 5));
        relay.run(14_000);

        // when
        relay.setOperatorRows(manifestRow(1, 1, 4));
        comeBackFrom(copy);
        relay.run(3_000);

        // then
        assertThat(relay.manifestVersion()).isEqualTo(5);
    }

    @Test
    void should_keep_a_zone_evacuated_until_operators_could_write_it_again_when_the_store_has_lost_it() {
        // given
        startServer(FIRST);
        VirtualRows.Copy copy = relay.store.copy();
        relay.setOperatorRows(manifestRow(0, 1, 1), evacuation(0, 900));
        relay.run(14_000);
        assertThat(relay.isServed(FIRST)).isFalse();

        // when
        relay.setOperatorRows(manifestRow(1, 1, 1));
        comeBackFrom(copy);

        // then
        for (int second = 0; second < 9; second++) {
            relay.deliverReady(FIRST, 10 + second);
            relay.run(1_000);
            assertThat(relay.isServed(FIRST)).as("after %d s", second).isFalse();
        }
        relay.deliverReady(FIRST, 20);
        relay.run(3_000);
        assertThat(relay.isServed(FIRST)).isTrue();
    }

    @Test
    void should_keep_a_zone_evacuated_when_operators_write_it_again() {
        // given
        startServer(FIRST);
        VirtualRows.Copy copy = relay.store.copy();
        relay.setOperatorRows(manifestRow(0, 1, 1), evacuation(0, 900));
        relay.run(14_000);

        // when
        relay.setOperatorRows(manifestRow(1, 1, 1));
        comeBackFrom(copy);
        relay.run(4_000);
        relay.setOperatorRows(manifestRow(1, 1, 1), evacuation(1, 80));
        relay.run(14_000);
        relay.deliverReady(FIRST, 10);
        relay.run(100);

        // then
        assertThat(relay.isServed(FIRST)).isFalse();
    }

    @Test
    void should_write_its_row_again_when_the_store_has_lost_it() {
        // given
        relay.run(50);
        VirtualRows.Copy empty = relay.store.copy();
        startServer(FIRST);
        Member written = relay.storedMember().orElseThrow();

        // when
        comeBackFrom(empty);
        assertThat(relay.storedMember()).isEmpty();
        relay.deliverReady(FIRST, 2);
        relay.run(3_000);

        // then
        assertThat(relay.storedMember()).contains(written);
    }

    @Test
    void should_write_a_confirmed_leave_again_when_the_store_has_lost_it() {
        // given
        startServer(FIRST);
        VirtualRows.Copy before = relay.store.copy();
        long leave = relay.deliver(ServerNotice.of(relay.heartbeat(FIRST, ServerState.DRAINING, 2)));
        relay.run(100);
        assertThat(relay.isConfirmed(leave)).isTrue();

        // when
        comeBackFrom(before);
        relay.run(3_000);

        // then
        assertThat(relay.storedMember().map(Member::state)).contains(ServerState.DRAINING);
        assertThat(relay.isServed(FIRST)).isFalse();
    }

    @Test
    void should_not_use_a_leaving_server_when_the_node_was_restarted_after_it_wrote_the_leave_again() {
        // given
        startServer(FIRST);
        VirtualRows.Copy before = relay.store.copy();
        relay.deliver(ServerNotice.of(relay.heartbeat(FIRST, ServerState.DRAINING, 2)));
        relay.run(100);

        // when
        comeBackFrom(before);
        relay.run(3_000);
        relay.restartProcess();
        relay.run(200);

        // then
        assertThat(relay.isServed(FIRST)).isFalse();
    }

    @Test
    void should_write_its_crash_reports_again_when_the_store_has_lost_them() {
        // given
        startServer(FIRST);
        VirtualRows.Copy before = relay.store.copy();
        writeCrashes(VirtualRelay.NODE, 0);
        relay.run(11_000);
        assertThat(relay.isStopped(CRASHING)).isTrue();

        // when
        comeBackFrom(before);
        relay.run(3_000);

        // then
        assertThat(relay.isStopped(CRASHING)).isTrue();
        assertThat(relay.store
                        .read(new RowRef(RowTable.CRASHES, VirtualRelay.NODE))
                        .content())
                .isPresent();
    }
}
