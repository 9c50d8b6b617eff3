package org.verbenamast.core.ownership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

import org.verbenamast.core.assign.AssignmentProblem;
import org.verbenamast.core.assign.Candidate;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceSettings;

/**
 * The member that should own each slice, computed from the rows that this node knows. The plan is computed again only
 * after a row has changed, and after a pause in proportion to the number of slices, so that a burst of rows does not
 * use up the CPU.
 */
final class TargetPlan {

    private static final long REFRESH_PAUSE_NANOS_PER_SLICE = 20_000;
    private static final long MEMBERS_STABILIZATION_DELAY_NANOS =
            Duration.ofSeconds(1).toNanos();
    private static final long MAX_STABILIZATION_NANOS = Duration.ofSeconds(5).toNanos();

    private final Directory directory;
    private final ServiceSettings service;
    private final OwnershipRules rules;
    private final MemberId self;
    private final Set<Integer> claimableChunks = new TreeSet<>();
    private List<MemberId> targets = List.of();
    private List<Integer> loads = List.of();
    private List<MemberId> members = List.of();
    private long revision = -1;
    private long nextRefresh = Long.MIN_VALUE;
    private long membersChangedAt;
    private long unstableSince;

    TargetPlan(Directory directory, ServiceSettings service, OwnershipRules rules, MemberId self) {
        this.directory = directory;
        this.service = service;
        this.rules = rules;
        this.self = self;
    }

    /**
     * Computes the plan again if rows have changed and the pause after the previous computation has passed.
     *
     * @param now the monotonic time, in nanoseconds
     * @param moving returns the targets of this node's moves that are under way, by slice number; the plan treats them
     *     as the owners
     */
    void refresh(long now, Supplier<Map<Integer, MemberId>> moving) {
        if (directory.revision() == revision || now < nextRefresh) {
            return;
        }
        nextRefresh = now + service.slices() * REFRESH_PAUSE_NANOS_PER_SLICE;
        revision = directory.revision();
        List<MemberRow> active = directory.activeMembers(service.name());
        recordMembers(active.stream().map(MemberRow::id).toList(), now);
        loads = directory.loads(service);
        targets = active.isEmpty() ? List.of() : chooseTargets(active, moving.get());
        updateClaimableChunks();
    }

    private void recordMembers(List<MemberId> next, long now) {
        if (next.equals(members)) {
            return;
        }
        if (membersStable(now)) {
            unstableSince = now;
        }
        members = next;
        membersChangedAt = now;
    }

    private List<MemberId> chooseTargets(List<MemberRow> active, Map<Integer, MemberId> moving) {
        List<Candidate> candidates = new ArrayList<>();
        active.forEach(member ->
                candidates.add(new Candidate(member.id(), rules.weights().weightOf(member))));
        List<MemberId> owners = new ArrayList<>();
        for (SliceGrant grant : directory.grants(service)) {
            owners.add(moving.getOrDefault(owners.size(), grant.owner()));
        }
        return rules.policy().targets(new AssignmentProblem(owners, loads, candidates));
    }

    private void updateClaimableChunks() {
        claimableChunks.clear();
        if (targets.isEmpty()) {
            return;
        }
        for (int chunk = 0; chunk < service.chunks(); chunk++) {
            if (canClaimIn(directory.chunk(service, chunk))) {
                claimableChunks.add(chunk);
            }
        }
    }

    private boolean canClaimIn(ChunkRow chunk) {
        int first = chunk.chunk() * service.chunkSlices();
        for (int i = 0; i < chunk.grants().size(); i++) {
            MemberId owner = chunk.grants().get(i).owner();
            boolean targeted = targets.get(first + i).equals(self);
            if (targeted && (owner.isNone() || directory.hasEnded(owner))) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the active members have not changed for 1 second, or have been changing for 5 seconds. */
    boolean membersStable(long now) {
        return now - membersChangedAt >= MEMBERS_STABILIZATION_DELAY_NANOS
                || now - unstableSince >= MAX_STABILIZATION_NANOS;
    }

    /** Returns the member that should own a slice, or {@link MemberId#NONE} if the service has no active member. */
    MemberId target(int slice) {
        return targets.isEmpty() ? MemberId.NONE : targets.get(slice);
    }

    /** Returns the load of a slice, as a multiple of the load of an average slice. */
    int load(int slice) {
        return loads.get(slice);
    }

    /** Returns the chunks with slices that this node should claim: it is their target and they have no live owner. */
    Set<Integer> claimableChunks() {
        return claimableChunks;
    }
}
