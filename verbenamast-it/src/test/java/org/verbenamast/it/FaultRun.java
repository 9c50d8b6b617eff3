package org.verbenamast.it;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.verbenamast.it.check.Ask;
import org.verbenamast.it.check.AskOutcome;
import org.verbenamast.it.check.OwnershipCheck;
import org.verbenamast.it.check.Records;
import org.verbenamast.it.check.RequestCheck;
import org.verbenamast.it.check.ServedRun;
import org.verbenamast.it.check.Violation;
import org.verbenamast.it.check.Workload;
import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.it.deploy.Faults;
import org.verbenamast.it.deploy.Plans;
import org.verbenamast.it.deploy.Wiring;

import static org.assertj.core.api.Assertions.assertThat;

/** A deployment behind the fault proxy that serves a workload while a test does harm to it. */
final class FaultRun implements AutoCloseable {

    private static final int RATE = 100;
    private static final int PROBES = 60;
    private static final long SEED = 7;

    private final Deployment deployment;
    private final Faults faults;
    private final Workload workload;

    private FaultRun(Deployment deployment) {
        this.deployment = deployment;
        this.faults = new Faults(deployment);
        this.workload = Workload.start(deployment.plan(), RATE, SEED);
    }

    static FaultRun start(DeploymentPlan plan) throws IOException {
        FaultRun run = new FaultRun(Deployed.start(plan, Wiring.PROXIED));
        run.pause(1_000);
        return run;
    }

    Deployment deployment() {
        return deployment;
    }

    Faults faults() {
        return faults;
    }

    HostPlan host(int index) {
        return deployment.plan().hosts().get(index);
    }

    void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until each of many keys is answered through the node of a host. */
    void awaitServed(HostPlan through) throws IOException {
        for (int i = 0; i < PROBES; i++) {
            String key = "key-" + i;
            Deployment.await(key + " is served", Deployed.HUNG_MILLIS, () -> {
                deployment.restartEnded();
                return Deployed.ask(through, key).statusCode() == 200;
            });
        }
    }

    /** Waits until the node has ended itself and its next incarnation, which its host starts, serves. */
    void awaitReturn(HostPlan host) throws IOException {
        Deployment.await(host.name() + " has ended", Deployed.HUNG_MILLIS, () -> deployment.hasEnded(host));
        awaitServed(host);
    }

    /** Ends the workload and checks every record against every promise. */
    List<Ask> finish() throws IOException {
        pause(1_000);
        List<Ask> asks = workload.finish();
        List<ServedRun> served = Records.of(deployment, Plans.KEYED);
        List<Violation> violations = new ArrayList<>(OwnershipCheck.of(served));
        violations.addAll(RequestCheck.of(asks, served));
        assertThat(violations).isEmpty();
        assertThat(asks).filteredOn(ask -> ask.outcome() == AskOutcome.ANSWERED).hasSizeGreaterThan(RATE);
        return asks;
    }

    @Override
    public void close() {
        workload.close();
        deployment.close();
    }
}
