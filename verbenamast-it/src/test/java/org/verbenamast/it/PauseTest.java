package org.verbenamast.it;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.Faults;
import org.verbenamast.it.deploy.Plans;
import org.verbenamast.it.deploy.Wiring;
import org.verbenamast.node.ExitCode;

import static org.assertj.core.api.Assertions.assertThat;

class PauseTest {

    private static final long OVER_THE_LEASE_MILLIS = 4_000;
    private static final long UNDER_THE_LEASE_MILLIS = 400;

    @Test
    void should_serve_nothing_on_an_old_lease_when_a_frozen_node_wakes() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("pause-node", 5, 0))) {
            run.faults().freeze(run.deployment().node(run.host(1)));
            run.pause(OVER_THE_LEASE_MILLIS);
            run.awaitServed(run.host(0));
            run.faults().wake(run.deployment().node(run.host(1)));
            run.awaitReturn(run.host(1));
            run.finish();
        }
    }

    @Test
    void should_have_its_share_again_when_a_node_was_frozen_before_it_was_asked_for_anything() throws Exception {
        try (Deployment deployment = Deployed.start(Plans.small("pause-start", 3, 0), Wiring.DIRECT)) {
            Faults faults = new Faults(deployment);
            Process frozen = deployment.node(deployment.plan().hosts().get(1));
            faults.freeze(frozen);
            Thread.sleep(OVER_THE_LEASE_MILLIS);
            faults.wake(frozen);
            Deployment.await("the frozen node has ended", Deployed.HUNG_MILLIS, () -> !frozen.isAlive());

            deployment.awaitServing(Deployed.HUNG_MILLIS);

            assertThat(frozen.exitValue()).isEqualTo(ExitCode.ENDED.code());
        }
    }

    @Test
    void should_go_on_when_a_node_is_frozen_for_less_than_its_lease() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("pause-short", 4, 0))) {
            run.faults().freeze(run.deployment().node(run.host(1)));
            run.pause(UNDER_THE_LEASE_MILLIS);
            run.faults().wake(run.deployment().node(run.host(1)));
            run.awaitServed(run.host(1));
            run.finish();
        }
    }

    @Test
    void should_serve_every_key_again_when_a_backend_server_is_frozen_and_wakes() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("pause-server", 5, 0))) {
            run.faults().freeze(run.deployment().server(run.host(1)));
            run.pause(OVER_THE_LEASE_MILLIS);
            run.faults().wake(run.deployment().server(run.host(1)));
            run.awaitServed(run.host(0));
            run.finish();
        }
    }
}
