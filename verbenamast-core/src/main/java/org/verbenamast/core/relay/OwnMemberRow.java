package org.verbenamast.core.relay;

import java.util.List;
import java.util.Optional;

import org.verbenamast.core.backend.BackendStateController;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.Member;
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
        Optional<Member> wanted = backend.lastHeartbeat().map(this::toMember);
        RowRef ref = new RowRef(RowTable.MEMBERS, settings.node());
        StoredRow known = replica.find(ref);
        if (wanted.isEmpty() || known.content().filter(wanted.get()::equals).isPresent()) {
            return List.of();
        }
        return List.of(new RowChange(ref, known.expectedVersion(), Optional.of(wanted.get())));
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
