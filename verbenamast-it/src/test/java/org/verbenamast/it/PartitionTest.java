package org.verbenamast.it;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.verbenamast.it.deploy.Plans;

class PartitionTest {

    private static final long CUT_MILLIS = 4_000;

    @Test
    void should_have_one_owner_when_a_node_is_cut_off_both_ways() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("cut-both", 5, 0))) {
            run.faults().cutOff(run.host(1));
            run.pause(CUT_MILLIS);
            run.awaitServed(run.host(0));
            run.faults().join(run.host(1));
            run.awaitReturn(run.host(1));
            run.finish();
        }
    }

    @Test
    void should_have_one_owner_when_a_node_hears_but_is_not_heard() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("cut-from", 5, 0))) {
            run.faults().cutFrom(run.host(1));
            run.pause(CUT_MILLIS);
            run.awaitServed(run.host(0));
            run.faults().join(run.host(1));
            run.awaitReturn(run.host(1));
            run.finish();
        }
    }

    @Test
    void should_have_one_owner_when_all_bytes_towards_a_node_are_lost() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("cut-towards", 5, 0))) {
            run.faults().loseTowards(run.host(1));
            run.pause(CUT_MILLIS);
            run.awaitServed(run.host(0));
            run.faults().join(run.host(1));
            run.awaitReturn(run.host(1));
            run.finish();
        }
    }

    @Test
    void should_serve_on_when_a_node_is_cut_off_from_the_platform_alone() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("cut-platform", 4, 0))) {
            run.faults().cutPlatform(run.host(1), true);
            run.pause(CUT_MILLIS);
            run.awaitServed(run.host(1));
            run.faults().cutPlatform(run.host(1), false);
            run.finish();
        }
    }
}
