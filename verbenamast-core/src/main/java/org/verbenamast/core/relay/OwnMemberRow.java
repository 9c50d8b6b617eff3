package org.verbenamast.core.relay;

import java.util.List;
import java.util.Optional;

import org.verbenamast.core.backend.BackendStateController;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.roster.ServerState;
import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoredRow;

/** The row in which a node publishes itself and the backend server beside it to the other nodes. */
final class OwnMemberRow {

    private final RelaySettings settings;
    private final RowReplica replica;
    private final BackendStateController backend;

    OwnMemberRow(RelaySettings settings, RowReplica replica, BackendStateController backend) {
        this.settings = settings;
        this.replica = replica;
        this.backend = backend;
    }

    /** Returns the change that brings the row up to date, or an empty list where none is needed. */
    List<RowChange> wantedChanges() {
        StoredRow known = row();
        Optional<Member> wanted = backend.lastHeartbeat().map(this::toMember).or(this::announcedSinceStart);
        if (wanted.isEmpty() || known.content().filter(wanted.get()::equals).isPresent()) {
            return List.of();
        }
        return List.of(new RowChange(known.ref(), known.expectedVersion(), Optional.of(wanted.get())));
    }

    private StoredRow row() {
        return replica.find(new RowRef(RowTable.MEMBERS, settings.node()));
    }

    /** Returns what the store last knew of this node and its server, or empty where there is no readable row. */
    Optional<Member> stored() {
        return row().content().filter(Member.class::isInstance).map(Member.class::cast);
    }

    /** Returns the row with a leave that a server announced before its first heartbeat since this node started. */
    private Optional<Member> announcedSinceStart() {
        return stored().filter(member -> isLeaving(member.incarnation()))
                .map(member -> member.withState(backend.state()));
    }

    private boolean isLeaving(ServerIncarnation incarnation) {
        return backend.state() == ServerState.DRAINING
                && backend.incarnation().filter(incarnation::equals).isPresent();
    }

    /** Returns whether the row has the leave of the server with an id, if that is the server known now. */
    boolean isLeaveRecorded(String id) {
        return stored().filter(member -> member.incarnation().id().equals(id)
                        && member.state() == ServerState.DRAINING
                        && isLeaving(member.incarnation()))
                .isPresent();
    }

    private Member toMember(Heartbeat last) {
        return new Member(
                settings.node(),
                settings.peer(),
                settings.zone(),
                last.service(),
                last.incarnation(),
                last.slots(),
                backend.state());
    }
}
