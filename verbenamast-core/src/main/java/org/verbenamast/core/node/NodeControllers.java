package org.verbenamast.core.node;

import java.util.Objects;

import org.verbenamast.core.assign.AssignmentPolicy;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.ExecutionController;
import org.verbenamast.core.gate.crash.SuspectController;
import org.verbenamast.core.gate.limit.ServerTag;
import org.verbenamast.core.lease.LeaseController;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.GossipController;
import org.verbenamast.core.membership.MemberController;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberTag;
import org.verbenamast.core.membership.TableReadController;
import org.verbenamast.core.ownership.OwnershipController;
import org.verbenamast.core.ownership.OwnershipRules;
import org.verbenamast.core.request.DirectoryRouter;
import org.verbenamast.core.request.RequestController;
import org.verbenamast.core.request.RoutePolicy;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.StoreController;
import org.verbenamast.core.store.StoreRetryPolicy;
import org.verbenamast.core.table.CommandController;
import org.verbenamast.core.table.FleetView;
import org.verbenamast.core.table.MarkController;
import org.verbenamast.core.table.ServerName;
import org.verbenamast.core.table.TableScope;
import org.verbenamast.core.trace.DecisionLog;

/** All desks of a node, and the rows that they share. */
final class NodeControllers implements RowSink {

    private final CoreSettings settings;
    private final Effects effects;
    private final Directory directory;
    private final StoreController store;
    private final MemberController member;
    private final GossipController spread;
    private final LeaseController lease;
    private final TableReadController reading;
    private final OwnershipController ownership;
    private final RequestController entries;
    private final ExecutionController serving;
    private final SuspectController suspects;
    private final CommandController commands;
    private final MarkController marks;

    NodeControllers(CoreSettings settings, DecisionLog decisions, Effects effects) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.effects = Objects.requireNonNull(effects, "effects");
        this.directory = new Directory(settings.services());
        this.store = new StoreController(
                new StoreRetryPolicy(Timing.nanos(settings.timing().storeTimeoutMillis()), settings.seed()), decisions);
        this.member = new MemberController(settings, directory, store, this, decisions);
        this.lease = new LeaseController(settings, directory, store, this, decisions);
        this.reading = new TableReadController(settings, directory, store, this, decisions);
        OwnershipRules rules = new OwnershipRules(AssignmentPolicy.BALANCED, directory::weightOf);
        this.ownership = new OwnershipController(settings, directory, store, rules, this::mayServe, this, decisions);
        this.spread = new GossipController(settings, directory, ownership::requestRate);
        this.suspects = new SuspectController(settings.self(), directory, decisions);
        DirectoryRouter router = new DirectoryRouter(settings, directory, suspects, RoutePolicy.DEFAULT, decisions);
        this.entries = new RequestController(settings, router, decisions);
        this.serving = new ExecutionController(settings, member, directory, ownership, suspects, decisions);
        FleetView fleet = new FleetView(directory, settings.services(), settings.zones(), this::running);
        this.commands = new CommandController(settings.operators(), directory, fleet, store, this, decisions);
        this.marks = new MarkController(settings, directory, fleet, store, this, decisions);
    }

    void advance(long now) {
        store.advance(now, effects);
        member.advance(now, effects);
        reading.advance(now, effects);
        spread.advance(now, effects);
        ownership.advance(now, effects);
        entries.advance(now, effects);
        serving.advance(now, effects);
        suspects.advance(now, effects);
        member.setServerWithdrawn(serving.server().is(ServerTag.WITHDRAWN), now, effects);
        commands.advance(now, effects);
        marks.advance(now, effects);
        if (member.is(MemberTag.STOPPING)
                && ownership.ownedSliceCount() == 0
                && serving.openRequests() == 0
                && entries.openRequests() == 0) {
            lease.end(now, effects);
            member.onEmptied(now, effects);
        }
        lease.advance(now, effects);
    }

    /** Returns when a desk has something to do next, as a monotonic time in nanoseconds. */
    long nextDue() {
        long due = Math.min(store.nextDue(), Math.min(member.nextDue(), spread.nextDue()));
        due = Math.min(due, Math.min(reading.nextDue(), suspects.nextDue()));
        due = Math.min(due, Math.min(commands.nextDue(), marks.nextDue()));
        due = Math.min(due, lease.nextDue());
        return Math.min(due, Math.min(ownership.nextDue(), Math.min(entries.nextDue(), serving.nextDue())));
    }

    @Override
    public void wrote(Row row, long now, Effects out) {
        if (learn(row, now)) {
            spread.onRow(row, now);
        }
        if (row.key().equals(MemberRow.keyOf(settings.self()))) {
            reading.onJoined(now, effects);
        }
    }

    @Override
    public void read(Row row, long now, Effects out) {
        if (learn(row, now)) {
            spread.onStoreRow(row, now);
        }
    }

    boolean learn(Row row, long now) {
        boolean newcomer = row.value() instanceof MemberRow member
                && !member.status().hasEnded()
                && directory.member(member.id()) == null;
        if (!directory.apply(row)) {
            return false;
        }
        if (newcomer) {
            suspects.onMember(((MemberRow) row.value()).id(), now, effects);
        }
        entries.onRow(row, now);
        marks.onRow(row, now, effects);
        member.onRow(row, now, effects);
        lease.onRow(row, now, effects);
        ownership.onRow(row, now, effects);
        serving.runs().onRow(row, now, effects);
        return true;
    }

    private boolean mayServe(long now) {
        return member.is(MemberTag.JOINED) && lease.holds(now);
    }

    private long running(TableScope scope) {
        TableScope own =
                TableScope.of(settings.service(), new ServerName(settings.self().node()));
        boolean holdsOwn = scope.service().equals(settings.service())
                && scope.zone().map(settings.zone()::equals).orElse(true)
                && scope.server().map(own.server().orElseThrow()::equals).orElse(true);
        return holdsOwn ? serving.running() : 0;
    }

    Directory directory() {
        return directory;
    }

    StoreController store() {
        return store;
    }

    MemberController member() {
        return member;
    }

    GossipController spread() {
        return spread;
    }

    LeaseController lease() {
        return lease;
    }

    TableReadController reading() {
        return reading;
    }

    OwnershipController ownership() {
        return ownership;
    }

    RequestController entries() {
        return entries;
    }

    ExecutionController serving() {
        return serving;
    }

    SuspectController suspects() {
        return suspects;
    }

    CommandController commands() {
        return commands;
    }

    MarkController marks() {
        return marks;
    }
}
