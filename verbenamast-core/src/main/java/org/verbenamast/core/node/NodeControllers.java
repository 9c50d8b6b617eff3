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

/** Creates the controllers of a node, advances them in a fixed order and passes each new row to them. */
final class NodeControllers implements RowListener {

    private final CoreSettings settings;
    private final Effects effects;
    private final Directory directory;
    private final StoreController store;
    private final MemberController member;
    private final GossipController gossip;
    private final LeaseController lease;
    private final TableReadController tableRead;
    private final OwnershipController ownership;
    private final RequestController requests;
    private final ExecutionController executions;
    private final SuspectController suspects;
    private final CommandController commands;
    private final MarkController marks;

    NodeControllers(CoreSettings settings, DecisionLog decisions, Effects effects) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.effects = Objects.requireNonNull(effects, "effects");
        this.directory = new Directory(settings.services());
        this.store = new StoreController(
                new StoreRetryPolicy(Timing.millisToNanos(settings.timing().storeTimeoutMillis()), settings.seed()),
                decisions);
        this.member = new MemberController(settings, directory, store, this, decisions);
        this.lease = new LeaseController(settings, directory, store, this, decisions);
        this.tableRead = new TableReadController(settings, directory, store, this, decisions);
        OwnershipRules rules = new OwnershipRules(AssignmentPolicy.BALANCED, directory::weightOf);
        this.ownership = new OwnershipController(settings, directory, store, rules, this::mayServe, this, decisions);
        this.gossip = new GossipController(settings, directory, ownership::requestRate);
        this.suspects = new SuspectController(settings.self(), directory, decisions);
        DirectoryRouter router = new DirectoryRouter(settings, directory, suspects, RoutePolicy.DEFAULT, decisions);
        this.requests = new RequestController(settings, router, decisions);
        this.executions = new ExecutionController(settings, member, directory, ownership, suspects, decisions);
        FleetView fleet = new FleetView(directory, settings.services(), settings.zones(), this::runningRequests);
        this.commands = new CommandController(settings.operators(), directory, fleet, store, this, decisions);
        this.marks = new MarkController(settings, directory, fleet, store, this, decisions);
    }

    void advance(long now) {
        store.advance(now, effects);
        member.advance(now, effects);
        tableRead.advance(now, effects);
        gossip.advance(now, effects);
        ownership.advance(now, effects);
        requests.advance(now, effects);
        executions.advance(now, effects);
        suspects.advance(now, effects);
        member.setServerWithdrawn(executions.server().is(ServerTag.WITHDRAWN), now, effects);
        commands.advance(now, effects);
        marks.advance(now, effects);
        if (member.is(MemberTag.STOPPING)
                && ownership.ownedSliceCount() == 0
                && executions.openRequests() == 0
                && requests.openRequests() == 0) {
            lease.end(now, effects);
            member.onEmptied(now, effects);
        }
        lease.advance(now, effects);
    }

    /** Returns the time of the earliest timer of all controllers, as a monotonic time in nanoseconds. */
    long nextDue() {
        long due = Math.min(store.nextDue(), Math.min(member.nextDue(), gossip.nextDue()));
        due = Math.min(due, Math.min(tableRead.nextDue(), suspects.nextDue()));
        due = Math.min(due, Math.min(commands.nextDue(), marks.nextDue()));
        due = Math.min(due, lease.nextDue());
        return Math.min(due, Math.min(ownership.nextDue(), Math.min(requests.nextDue(), executions.nextDue())));
    }

    @Override
    public void onRowWritten(Row row, long now, Effects out) {
        if (applyRow(row, now)) {
            gossip.onRow(row, now);
        }
        if (row.key().equals(MemberRow.keyOf(settings.self()))) {
            tableRead.onJoined(now, effects);
        }
    }

    @Override
    public void onRowRead(Row row, long now, Effects out) {
        if (applyRow(row, now)) {
            gossip.onStoreRow(row, now);
        }
    }

    boolean applyRow(Row row, long now) {
        boolean newMember = row.value() instanceof MemberRow member
                && !member.status().hasEnded()
                && directory.member(member.id()) == null;
        if (!directory.apply(row)) {
            return false;
        }
        if (newMember) {
            suspects.onMember(((MemberRow) row.value()).id(), now, effects);
        }
        requests.onRow(row, now);
        marks.onRow(row, now, effects);
        member.onRow(row, now, effects);
        lease.onRow(row, now, effects);
        ownership.onRow(row, now, effects);
        executions.runs().onRow(row, now, effects);
        return true;
    }

    private boolean mayServe(long now) {
        return member.is(MemberTag.JOINED) && lease.holds(now);
    }

    private long runningRequests(TableScope scope) {
        TableScope ownScope =
                TableScope.of(settings.service(), new ServerName(settings.self().node()));
        boolean includesOwnServer = scope.service().equals(settings.service())
                && scope.zone().map(settings.zone()::equals).orElse(true)
                && scope.server().map(ownScope.server().orElseThrow()::equals).orElse(true);
        return includesOwnServer ? executions.running() : 0;
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

    GossipController gossip() {
        return gossip;
    }

    LeaseController lease() {
        return lease;
    }

    TableReadController tableRead() {
        return tableRead;
    }

    OwnershipController ownership() {
        return ownership;
    }

    RequestController requests() {
        return requests;
    }

    ExecutionController executions() {
        return executions;
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
