package org.verbenamast.it;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.verbenamast.it.deploy.Plans;

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
