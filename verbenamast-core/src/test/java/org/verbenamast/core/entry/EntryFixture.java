package org.verbenamast.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.gate.crash.CrashReportController;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.gate.crash.ReportedSuspects;
import org.verbenamast.core.keys.KeyMap;
import org.verbenamast.core.keys.KeyRange;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.manifest.Route;
import org.verbenamast.core.manifest.Split;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoredRow;

/** An entry controller with the members and rows that a test gives it. */
abstract class EntryFixture {

    static final String SERVICE = "stock";
    static final Fingerprint CONTENT = new Fingerprint(1);
    static final AdmissionLoad IDLE = new AdmissionLoad(0, 0, 9, 50, false, false);

    final Roster roster = new Roster();
    final RowReplica replica = new RowReplica(row -> {});
    final ReportedSuspects suspects = new ReportedSuspects();
    final CrashReportController crashReports = new CrashReportController("node-a", replica, suspects, () -> 0.5);
    final List<Effect> effects = new ArrayList<>();
    EntryController controller = controller(0);
    long now = Timing.millisToNanos(1_000);
    long lastId;

    private EntryController controller(long hedgesPerMille) {
        return new EntryController(
                new Zone("a"), roster, replica, crashReports, hedgesPerMille, () -> 0.5, TransitionListener.NONE);
    }

    void hedgesPerMille(long hedges) {
        controller = controller(hedges);
    }

    Member join(String node) {
        Member member = new Member(
                node,
                new Address("127.0.0.1", 1),
                new Zone("a"),
                SERVICE,
                new ServerIncarnation("server-of-" + node, 1),
                9,
                ServerState.READY);
        roster.put(member);
        return member;
    }

    void assignAllKeysTo(Member member) {
        putKeys(KeyMap.vacant(SERVICE).move(KeyRange.ALL, member.incarnation()), 1);
    }

    void putKeys(KeyMap map, long version) {
        replica.apply(List.of(new StoredRow(new RowRef(RowTable.KEYS, SERVICE), version, Optional.of(map))));
    }

    long open(RequestKind kind, OptionalInt key) {
        Route route = new Route("r", "h", "/", kind, 1_000, 300, 1, 2, false, List.of(new Split(SERVICE, 1)));
        long id = ++lastId;
        EntryRequest request = new EntryRequest(
                id,
                "attempt-" + id,
                route,
                SERVICE,
                key,
                now,
                now + Timing.millisToNanos(300),
                now + Timing.millisToNanos(1_000));
        controller.onCallerRequest(request, CONTENT, now, effects::add);
        return id;
    }

    List<String> nodesAsked() {
        return effects.stream()
                .filter(EntryEffect.OpenAttempt.class::isInstance)
                .map(effect -> ((EntryEffect.OpenAttempt) effect).target().node())
                .toList();
    }

    Effect lastEffect() {
        return effects.get(effects.size() - 1);
    }
}
