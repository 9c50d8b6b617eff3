package org.verbenamast.it.check;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.standins.server.Patterns;
import org.verbenamast.standins.server.Run;

import static org.assertj.core.api.Assertions.assertThat;

class CheckTest {

    private static final String PATH = "/items/a";
    private static final int BYTES = 64;

    private static ServedRun run(String host, String id, long epoch, long start, long end) {
        Run run = new Run("request-" + id, "a", 3, epoch, "POST", PATH, id, start, 1, "ran");
        return new ServedRun(host, run, end);
    }

    private static Ask ask(String method, String id, AskOutcome outcome, byte[] body) {
        return new Ask("a", method, PATH, BYTES, id, 0, 1, outcome, "", body);
    }

    private static List<ViolationKind> kinds(List<Violation> violations) {
        return violations.stream().map(Violation::kind).toList();
    }

    @Test
    void should_find_nothing_when_the_owner_changes_under_a_higher_epoch() {
        List<ServedRun> runs = List.of(run("one", "1", 1, 10, 20), run("two", "2", 2, 20, 30));
        assertThat(OwnershipCheck.of(runs)).isEmpty();
    }

    @Test
    void should_find_two_owners_when_one_epoch_is_served_by_two_backend_servers() {
        List<ServedRun> runs = List.of(run("one", "1", 1, 10, 20), run("two", "2", 1, 20, 30));
        assertThat(kinds(OwnershipCheck.of(runs))).containsExactly(ViolationKind.TWO_OWNERS);
    }

    @Test
    void should_find_an_epoch_going_back_when_the_old_owner_runs_again() {
        List<ServedRun> runs =
                List.of(run("one", "1", 1, 10, 20), run("two", "2", 2, 20, 30), run("one", "3", 1, 40, 50));
        assertThat(kinds(OwnershipCheck.of(runs))).containsExactly(ViolationKind.EPOCH_BACK);
    }

    @Test
    void should_find_an_overlap_when_the_old_owner_has_not_finished() {
        List<ServedRun> runs =
                List.of(run("one", "1", 1, 10, 60), run("one", "2", 1, 11, 12), run("two", "3", 2, 20, 30));
        assertThat(kinds(OwnershipCheck.of(runs))).containsExactly(ViolationKind.OVERLAP);
    }

    @Test
    void should_take_a_run_without_an_end_as_over_when_its_backend_server_was_killed() {
        Run start = new Run("r", "a", 3, 1, "POST", PATH, "1", 10, 1, "ran");
        assertThat(Records.join("one", List.of(start))).containsExactly(new ServedRun("one", start, 10));
    }

    @Test
    void should_find_a_second_run_when_a_request_must_not_repeat() {
        List<ServedRun> runs = List.of(run("one", "1", 1, 10, 20), run("two", "1", 2, 20, 30));
        List<Ask> asks = List.of(ask("POST", "1", AskOutcome.UNKNOWN, new byte[0]));
        assertThat(kinds(RequestCheck.of(asks, runs))).containsExactly(ViolationKind.RAN_TWICE);
    }

    @Test
    void should_find_a_false_refusal_when_a_request_ran() {
        List<ServedRun> runs = List.of(run("one", "1", 1, 10, 20));
        List<Ask> asks = List.of(ask("POST", "1", AskOutcome.NOT_RUN, new byte[0]));
        assertThat(kinds(RequestCheck.of(asks, runs))).containsExactly(ViolationKind.FALSE_NOT_RUN);
    }

    @Test
    void should_find_a_missing_run_when_a_request_was_answered() {
        List<Ask> asks = List.of(ask("POST", "1", AskOutcome.ANSWERED, new byte[0]));
        assertThat(kinds(RequestCheck.of(asks, List.of()))).containsExactly(ViolationKind.ANSWERED_WITHOUT_RUN);
    }

    @Test
    void should_find_a_wrong_answer_when_it_is_cut_short_or_another_callers() {
        List<ServedRun> runs = List.of(run("one", "1", 1, 10, 20), run("one", "2", 1, 20, 30));
        List<Ask> asks = List.of(
                ask("GET", "1", AskOutcome.ANSWERED, Patterns.of(PATH, BYTES - 1)),
                ask("GET", "2", AskOutcome.ANSWERED, Patterns.of("/items/b", BYTES)));
        assertThat(kinds(RequestCheck.of(asks, runs)))
                .containsExactly(ViolationKind.WRONG_ANSWER, ViolationKind.WRONG_ANSWER);
    }

    @Test
    void should_find_nothing_when_each_caller_has_its_own_whole_answer() {
        List<ServedRun> runs = List.of(run("one", "1", 1, 10, 20));
        List<Ask> asks = List.of(ask("GET", "1", AskOutcome.ANSWERED, Patterns.of(PATH, BYTES)));
        assertThat(RequestCheck.of(asks, runs)).isEmpty();
    }
}
