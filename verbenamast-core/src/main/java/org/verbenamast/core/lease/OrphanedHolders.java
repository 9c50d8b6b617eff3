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
 * The holders that are left to this node although it is no lease peer of them.
 *
 * <p>These are the holders whose lease peers have all ended, of which each has one guardian, and the predecessors of
 * this node: earlier incarnations with its name and its address. Only one process can listen at an address, so a
 * predecessor runs no more, and no lease peer has to be asked. This needs that operators never give one name and
 * address to two hosts at once.
 */
final class OrphanedHolders {

    private final MemberId self;
    private final Directory directory;

    OrphanedHolders(MemberId self, Directory directory) {
        this.self = Objects.requireNonNull(self, "self");
        this.directory = Objects.requireNonNull(directory, "directory");
    }

    /** Lists the holders that are left to this node. */
    List<MemberId> mine() {
        List<MemberId> mine = new ArrayList<>();
        for (MemberRow row : directory.members()) {
            if (isMine(row.id())) {
                mine.add(row.id());
            }
        }
        return mine;
    }

    boolean isMine(MemberId holder) {
        MemberRow row = directory.member(holder);
        return row != null
                && (isPredecessor(row) || isOrphan(row) && guardianOf(holder).equals(self));
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

    private MemberId guardianOf(MemberId holder) {
        MemberId guardian = MemberId.NONE;
        long best = Long.MAX_VALUE;
        for (MemberRow row : directory.members()) {
            long score = score(holder, row);
            if (score < best) {
                best = score;
                guardian = row.id();
            }
        }
        return guardian;
    }

    private long score(MemberId holder, MemberRow row) {
        if (row.status() != MemberStatus.ACTIVE || row.id().equals(holder)) {
            return Long.MAX_VALUE;
        }
        long hash = KeyHash.of(holder + "/" + row.id());
        return isOrphan(row) ? hash + (1L << Integer.SIZE) : hash;
    }
}
