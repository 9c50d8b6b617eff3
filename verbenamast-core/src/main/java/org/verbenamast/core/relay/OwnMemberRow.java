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

/** The row by which a node tells the others of itself and of the server beside it. */
final class OwnMemberRow {

    private final RelaySettings self;
    private final RowReplica replica;
    private final BackendStateController backend;

    OwnMemberRow(RelaySettings self, RowReplica replica, BackendStateController backend) {
        this.self = self;
        this.replica = replica;
        this.backend = backend;
    }

    /** Returns the change that makes the row as it should be, or none. */
    List<RowChange> wanted() {
        Optional<Member> wanted = backend.lastHeartbeat().map(this::member);
        RowRef ref = new RowRef(RowTable.MEMBERS, self.node());
        StoredRow known = replica.find(ref);
        if (wanted.isEmpty() || known.content().filter(wanted.get()::equals).isPresent()) {
            return List.of();
        }
        return List.of(new RowChange(ref, known.expectedVersion(), Optional.of(wanted.get())));
    }

    private Member member(Heartbeat last) {
        return new Member(
                self.node(), self.peer(), self.zone(), last.service(), last.life(), last.slots(), backend.state());
    }
}
