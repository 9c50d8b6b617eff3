package org.verbenamast.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.model.KeyHash;
import org.verbenamast.core.model.MemberId;

/**
 * Finds the lease holders that this node has to take over from although it is not one of their lease peers.
 *
 * <p>There are two kinds. For each orphan, a holder whose lease peers have all ended, one member is responsible. Each
 * node is also responsible for its predecessors: earlier incarnations with its name and its address. Only one process
 * can listen at an address, so a predecessor no longer runs, and no lease peer has to be asked. This requires that
 * operators never assign one name and address to two hosts at the same time.
 */
final class OrphanedHolders {

    private final MemberId self;
    private final Directory directory;

    OrphanedHolders(MemberId self, Directory directory) {
        this.self = Objects.requireNonNull(self, "self");
        this.directory = Objects.requireNonNull(directory, "directory");
    }

    /** Returns the holders that this node has to take over from. */
    List<MemberId> assigned() {
        List<MemberId> holders = new ArrayList<>();
        for (MemberRow row : directory.members()) {
            if (isAssigned(row.id())) {
                holders.add(row.id());
            }
        }
        return holders;
    }

    boolean isAssigned(MemberId holder) {
        MemberRow row = directory.member(holder);
        return row != null
                && (isPredecessor(row)
                        || isOrphan(row) && responsibleMemberFor(holder).equals(self));
    }

    boolean isPredecessor(MemberRow row) {
        MemberRow own = directory.member(self);
        return own != null
                && !row.status().hasEnded()
                && !row.id().equals(self)
                && row.id().node().equals(self.node())
                && row.peer().equals(own.peer());
    }

    private boolean isOrphan(MemberRow row) {
        return !row.status().hasEnded()
                && !row.id().equals(self)
                && row.leasePeers().stream().allMatch(peer -> peer.equals(row.id()) || directory.hasEnded(peer));
    }

    private MemberId responsibleMemberFor(MemberId holder) {
        MemberId responsible = MemberId.NONE;
        long best = Long.MAX_VALUE;
        for (MemberRow row : directory.members()) {
            long score = score(holder, row);
            if (score < best) {
                best = score;
                responsible = row.id();
            }
        }
        return responsible;
    }

    private long score(MemberId holder, MemberRow row) {
        if (row.status() != MemberStatus.ACTIVE || row.id().equals(holder)) {
            return Long.MAX_VALUE;
        }
        long hash = KeyHash.of(holder + "/" + row.id());
        return isOrphan(row) ? hash + (1L << Integer.SIZE) : hash;
    }
}
