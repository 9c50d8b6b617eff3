package org.verbenamast.it;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.it.check.Ask;
import org.verbenamast.it.check.AskOutcome;
import org.verbenamast.it.deploy.Plans;

import static org.assertj.core.api.Assertions.assertThat;

class OutageTest {

    private static final long OUTAGE_MILLIS = 6_000;

    @Test
    void should_answer_every_request_when_the_store_is_out() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("outage", 4, 0))) {
            run.faults().platformOutage(true);
            run.pause(OUTAGE_MILLIS);
            run.faults().platformOutage(false);
            List<Ask> asks = run.finish();
            assertThat(asks).allMatch(ask -> ask.outcome() == AskOutcome.ANSWERED);
        }
    }

    @Test
    void should_serve_every_key_again_when_a_node_is_lost_in_an_outage_that_ends() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("outage-loss", 5, 0))) {
            run.faults().platformOutage(true);
            run.faults().kill(run.deployment().node(run.host(1)));
            run.pause(OUTAGE_MILLIS);
            run.faults().platformOutage(false);
            run.awaitServed(run.host(0));
            run.finish();
        }
    }
}
