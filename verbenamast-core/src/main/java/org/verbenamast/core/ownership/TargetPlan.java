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
 * Which member should own each slice by the rows that this node knows. Made anew only where these change, with a pause
 * in proportion to the number of slices, so that a burst of rows does not take up the processor.
 */
final class TargetPlan {

    private static final long PAUSE_NANOS_PER_SLICE = 20_000;
    private static final long CALM_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long MAX_UNREST_NANOS = Duration.ofSeconds(5).toNanos();

    private final Directory directory;
    private final ServiceSettings service;
    private final OwnershipRules rules;
    private final MemberId self;
    private final Set<Integer> claimable = new TreeSet<>();
    private List<MemberId> targets = List.of();
    private List<Integer> heats = List.of();
    private List<MemberId> members = List.of();
    private long revision = -1;
    private long nextRefresh = Long.MIN_VALUE;
    private long changedAt;
    private long restlessSince;

    TargetPlan(Directory directory, ServiceSettings service, OwnershipRules rules, MemberId self) {
        this.directory = directory;
        this.service = service;
        this.rules = rules;
        this.self = self;
    }

    /**
     * Makes the plan anew where the rows have changed.
     *
     * @param now the monotonic time, in nanoseconds
     * @param moving the next owners of this node's slices that are on their way, by slice number; they count as owners
     */
    void refresh(long now, Supplier<Map<Integer, MemberId>> moving) {
        if (directory.revision() == revision || now < nextRefresh) {
            return;
        }
        nextRefresh = now + service.slices() * PAUSE_NANOS_PER_SLICE;
        revision = directory.revision();
        List<MemberRow> active = directory.activeMembers(service.name());
        noteMembers(active.stream().map(MemberRow::id).toList(), now);
        heats = directory.loads(service);
        targets = active.isEmpty() ? List.of() : choose(active, moving.get());
        findClaimable();
    }

    private void noteMembers(List<MemberId> next, long now) {
        if (next.equals(members)) {
            return;
        }
        if (settled(now)) {
            restlessSince = now;
        }
        members = next;
        changedAt = now;
    }

    private List<MemberId> choose(List<MemberRow> active, Map<Integer, MemberId> moving) {
        List<Candidate> candidates = new ArrayList<>();
        active.forEach(member ->
                candidates.add(new Candidate(member.id(), rules.weights().weightOf(member))));
        List<MemberId> owners = new ArrayList<>();
        for (SliceGrant grant : directory.grants(service)) {
            owners.add(moving.getOrDefault(owners.size(), grant.owner()));
        }
        return rules.policy().targets(new AssignmentProblem(owners, heats, candidates));
    }

    private void findClaimable() {
        claimable.clear();
        if (targets.isEmpty()) {
            return;
        }
        for (int chunk = 0; chunk < service.chunks(); chunk++) {
            if (mayClaimIn(directory.chunk(service, chunk))) {
                claimable.add(chunk);
            }
        }
    }

    private boolean mayClaimIn(ChunkRow chunk) {
        int first = chunk.chunk() * service.chunkSlices();
        for (int i = 0; i < chunk.grants().size(); i++) {
            MemberId owner = chunk.grants().get(i).owner();
            boolean mine = targets.get(first + i).equals(self);
            if (mine && (owner.isNone() || directory.hasEnded(owner))) {
                return true;
            }
        }
        return false;
    }

    /** Tells whether members have stopped coming and going, or whether waiting for that has taken too long. */
    boolean settled(long now) {
        return now - changedAt >= CALM_NANOS || now - restlessSince >= MAX_UNREST_NANOS;
    }

    /** Returns the member that should own a slice, or {@link MemberId#NONE} where the service has no member. */
    MemberId target(int slice) {
        return targets.isEmpty() ? MemberId.NONE : targets.get(slice);
    }

    /** Returns how many ordinary slices a slice counts as. */
    int heat(int slice) {
        return heats.get(slice);
    }

    /** Returns the chunks in which this node should claim slices. */
    Set<Integer> claimable() {
        return claimable;
    }
}
