package org.verbenamast.core.assign;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.model.MemberId;

import static org.assertj.core.api.Assertions.assertThat;

class BalancedPlanTest {

    private static final String SEED = "20261204";
    private static final int HOT_SLICE_LOAD = 40;

    @Property(seed = SEED, tries = 500)
    void should_differ_by_one_slice_at_most_when_weights_are_even(
            @ForAll @IntRange(min = 1, max = 200) int slices,
            @ForAll @IntRange(min = 1, max = 20) int members,
            @ForAll long seed) {
        AssignmentProblem problem = even(owners(slices, members + 3, new Random(seed)), members);
        List<Long> counts = counts(problem, AssignmentPolicy.BALANCED.targets(problem));
        assertThat(Collections.max(counts) - Collections.min(counts)).isLessThanOrEqualTo(1);
    }

    @Property(seed = SEED, tries = 500)
    void should_make_the_fewest_moves_when_weights_are_even(
            @ForAll @IntRange(min = 1, max = 200) int slices,
            @ForAll @IntRange(min = 1, max = 20) int members,
            @ForAll long seed) {
        AssignmentProblem problem = even(owners(slices, members + 3, new Random(seed)), members);
        List<MemberId> targets = AssignmentPolicy.BALANCED.targets(problem);
        assertThat(moves(problem.owners(), targets)).isEqualTo(leastMoves(problem));
    }

    @Property(seed = SEED, tries = 500)
    void should_move_nothing_when_the_owners_already_follow_a_plan(
            @ForAll @IntRange(min = 1, max = 200) int slices,
            @ForAll @IntRange(min = 1, max = 20) int members,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<Integer> loads = IntStream.range(0, slices)
                .map(i -> random.nextInt(4) == 0 ? 1 + random.nextInt(30) : 1)
                .boxed()
                .toList();
        List<Candidate> candidates = IntStream.range(0, members)
                .mapToObj(i -> new Candidate(member(i), random.nextInt(4)))
                .toList();
        AssignmentProblem problem = new AssignmentProblem(owners(slices, members + 3, random), loads, candidates);
        List<MemberId> planned = AssignmentPolicy.BALANCED.targets(problem);
        AssignmentProblem after = new AssignmentProblem(planned, loads, candidates);
        assertThat(AssignmentPolicy.BALANCED.targets(after)).isEqualTo(planned);
        assertThat(planned).doesNotContain(MemberId.NONE);
    }

    @Test
    void should_share_by_weight_when_weights_differ() {
        List<Candidate> candidates =
                List.of(new Candidate(member(0), 0), new Candidate(member(1), 1), new Candidate(member(2), 3));
        AssignmentProblem problem =
                new AssignmentProblem(Collections.nCopies(96, member(0)), Collections.nCopies(96, 1), candidates);
        assertThat(counts(problem, AssignmentPolicy.BALANCED.targets(problem))).containsExactly(0L, 24L, 72L);
    }

    @Test
    void should_leave_a_hot_slice_alone_with_its_owner_when_it_is_hotter_than_a_share() {
        List<MemberId> owners =
                IntStream.range(0, 96).mapToObj(i -> member(i % 6)).toList();
        List<Integer> loads = new ArrayList<>(Collections.nCopies(96, 1));
        loads.set(0, HOT_SLICE_LOAD);
        List<Candidate> candidates =
                IntStream.range(0, 6).mapToObj(i -> new Candidate(member(i), 1)).toList();
        AssignmentProblem problem = new AssignmentProblem(owners, loads, candidates);
        List<MemberId> targets = AssignmentPolicy.BALANCED.targets(problem);
        assertThat(targets.get(0)).isEqualTo(member(0));
        assertThat(counts(problem, targets)).containsExactly(1L, 19L, 19L, 19L, 19L, 19L);
    }

    private static MemberId member(int number) {
        return new MemberId("stock-" + (char) ('a' + number), 1);
    }

    private static List<MemberId> owners(int slices, int members, Random random) {
        return IntStream.range(0, slices)
                .mapToObj(i -> random.nextInt(10) == 0 ? MemberId.NONE : member(random.nextInt(members)))
                .toList();
    }

    private static AssignmentProblem even(List<MemberId> owners, int members) {
        List<Candidate> candidates = IntStream.range(0, members)
                .mapToObj(i -> new Candidate(member(i), 1))
                .toList();
        return new AssignmentProblem(owners, Collections.nCopies(owners.size(), 1), candidates);
    }

    private static List<Long> counts(AssignmentProblem problem, List<MemberId> owners) {
        return problem.candidates().stream()
                .map(candidate ->
                        owners.stream().filter(candidate.member()::equals).count())
                .toList();
    }

    private static long moves(List<MemberId> before, List<MemberId> after) {
        return IntStream.range(0, before.size())
                .filter(i -> !before.get(i).equals(after.get(i)))
                .count();
    }

    /** Returns the least number of moves to even shares: the members with the most slices keep rounded-up shares. */
    private static long leastMoves(AssignmentProblem problem) {
        List<Long> counts = new ArrayList<>(counts(problem, problem.owners()));
        counts.sort(Collections.reverseOrder());
        int slices = problem.owners().size();
        int members = counts.size();
        long kept = 0;
        for (int i = 0; i < members; i++) {
            long share = slices / members + (i < slices % members ? 1 : 0);
            kept += Math.min(share, counts.get(i));
        }
        return slices - kept;
    }
}
