package org.verbenamast.it;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.it.deploy.Plans;

class LossTest {

    @Test
    void should_serve_every_key_again_when_a_node_is_killed() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("loss-node", 5, 0))) {
            run.faults().kill(run.deployment().node(run.host(1)));
            run.awaitServed(run.host(0));
            run.finish();
        }
    }

    @Test
    void should_serve_every_key_again_when_a_backend_server_is_killed() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("loss-server", 5, 0))) {
            run.faults().kill(run.deployment().server(run.host(1)));
            run.awaitServed(run.host(0));
            run.finish();
        }
    }

    @Test
    void should_serve_every_key_again_when_node_and_backend_server_are_killed() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("loss-both", 5, 0))) {
            run.faults().kill(run.deployment().server(run.host(1)));
            run.faults().kill(run.deployment().node(run.host(1)));
            run.awaitServed(run.host(0));
            run.finish();
        }
    }

    @Test
    void should_serve_every_key_again_when_a_killed_node_returns_at_once() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("loss-return", 5, 0))) {
            run.faults().kill(run.deployment().node(run.host(1)));
            run.deployment().startNode(run.host(1));
            run.awaitServed(run.host(0));
            run.awaitServed(run.host(1));
            run.finish();
        }
    }

    @Test
    void should_serve_every_key_again_when_a_whole_zone_is_killed() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("loss-zone", 6, 0))) {
            for (HostPlan host : run.deployment().plan().hosts()) {
                if (host.zone().equals(run.host(1).zone())) {
                    run.faults().kill(run.deployment().node(host));
                    run.faults().kill(run.deployment().server(host));
                }
            }
            run.awaitServed(run.host(0));
            run.finish();
        }
    }

    @Test
    void should_serve_every_key_again_when_two_nodes_are_killed_one_after_the_other() throws IOException {
        try (FaultRun run = FaultRun.start(Plans.small("loss-two", 6, 0))) {
            run.faults().kill(run.deployment().node(run.host(1)));
            run.pause(500);
            run.faults().kill(run.deployment().node(run.host(2)));
            run.awaitServed(run.host(0));
            run.finish();
        }
    }
}
