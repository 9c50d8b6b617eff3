package org.verbenamast.it;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.it.check.Ask;
import org.verbenamast.it.check.AskOutcome;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.it.deploy.Plans;

import static org.assertj.core.api.Assertions.assertThat;

class RestartTest {

    @Test
    void should_cut_off_no_request_when_every_node_is_restarted_in_turn() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("restart", 4, 0))) {
            for (HostPlan host : run.deployment().plan().hosts()) {
                run.faults().stop(run.deployment().node(host));
                run.deployment().startNode(host);
                run.awaitServed(host);
                run.deployment().awaitServing(Deployed.HUNG_MILLIS);
            }
            List<Ask> asks = run.finish();
            assertThat(asks)
                    .filteredOn(ask -> ask.outcome() == AskOutcome.CUT_OFF || ask.outcome() == AskOutcome.UNKNOWN)
                    .isEmpty();
        }
    }
}
