package org.verbenamast.it.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import org.verbenamast.http.HttpClients;
import org.verbenamast.it.check.OwnershipCheck;
import org.verbenamast.it.check.Records;
import org.verbenamast.it.check.RequestCheck;
import org.verbenamast.it.check.ServedRun;
import org.verbenamast.it.check.Violation;
import org.verbenamast.it.deploy.RelayFleet;
import org.verbenamast.it.deploy.Wiring;
import org.verbenamast.standins.proxy.RouteFaults;

/** One soak: a fleet comes up, is struck at random, is left alone until it serves again, and is checked. */
public final class SoakRun implements AutoCloseable {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    /** Time between looks at the fleet, in milliseconds. */
    private static final long LOOK_MILLIS = 100;
    /** After this time a wait counts as hung, in milliseconds; far above what any step takes. */
    private static final long HUNG_MILLIS = 90_000;
    /** Answers one after the other after which a fleet counts as serving; each host and most ranges are among them. */
    private static final int SERVING = 100;
    /** Longest pause between the beginnings of two faults, in milliseconds; most overlap with others. */
    private static final int MOST_PAUSE_MILLIS = 2_000;
    /** Longest fault, in milliseconds; longer than a lease, so that keys change hands. */
    private static final int LONGEST_MILLIS = 11_000;
    /** Shortest fault, in milliseconds. */
    private static final int SHORTEST_MILLIS = 200;

    /** Time for which the store is silent in a drill, in milliseconds. */
    private static final long SILENT_MILLIS = 1_000;

    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final SoakPlan plan;
    private final Eventloop eventloop;
    private final Random random;
    private final RelayFleet fleet;
    private final SoakHosts hosts;
    private final SoakCallers callers;
    private final HttpClient control;
    private final List<String> faults = new ArrayList<>();
    private long struckUntil;

    private SoakRun(SoakPlan plan, Eventloop eventloop, RelayFleet fleet) {
        this.plan = Objects.requireNonNull(plan, "plan");
        this.eventloop = eventloop;
        this.fleet = fleet;
        this.random = new Random(plan.seed());
        this.hosts = new SoakHosts(fleet);
        this.callers = new SoakCallers(eventloop, fleet, plan.seed());
        this.control = HttpClients.create(eventloop, MAX_BODY_BYTES);
    }

    /**
     * Runs a soak.
     *
     * @param plan what it is to do
     * @param root the root of the repository, with its modules built
     * @param folder where settings, logs and records go; what is there is deleted
     * @return what it found
     * @throws IOException where the fleet does not come up or a record can't be read
     */
    public static SoakReport run(SoakPlan plan, Path root, Path folder) throws IOException {
        Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
        try (RelayFleet fleet = RelayFleet.start(root, folder, plan.hosts(), Wiring.PROXIED);
                SoakRun run = new SoakRun(plan, eventloop, fleet)) {
            return run.run();
        }
    }

    private SoakReport run() throws IOException {
        eventloop.keepAlive(true);
        eventloop.post(callers::start);
        if (await(() -> callers.answeredInARow() >= SERVING) < 0) {
            throw new IOException("the fleet of seed " + plan.seed() + " should serve but does not");
        }
        long end = now() + plan.seconds() * MILLIS_PER_SECOND;
        eventloop.post(() -> strike(end));
        await(() -> now() > Math.max(end, struckUntil));
        callers.forgetRow();
        long recovered = await(() -> callers.answeredInARow() >= SERVING);
        callers.stop();
        await(callers::idle);
        return new SoakReport(plan, faults, callers.outcomes(), recovered, violations());
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Runs the loop until a condition holds; returns for how long, in milliseconds, or -1 where the time is up. */
    private long await(BooleanSupplier condition) {
        long begin = now();
        look(condition, begin + HUNG_MILLIS + plan.seconds() * MILLIS_PER_SECOND);
        eventloop.run();
        return condition.getAsBoolean() ? now() - begin : -1;
    }

    private void look(BooleanSupplier condition, long until) {
        eventloop.delay(LOOK_MILLIS, () -> {
            hosts.startEnded();
            if (condition.getAsBoolean() || now() > until) {
                eventloop.breakEventloop();
            } else {
                look(condition, until);
            }
        });
    }

    private void strike(long end) {
        if (now() > end) {
            return;
        }
        List<SoakFault> drawn = SoakFault.drawn(plan.drill());
        SoakFault fault = drawn.get(random.nextInt(drawn.size()));
        int host = random.nextInt(fleet.hosts());
        long lasts = SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS - SHORTEST_MILLIS);
        faults.add("%s host %d for %d ms".formatted(fault, host, lasts));
        SoakTarget target = new SoakTarget(hosts, host, fleet.storeRoute(host), this::set, this::drill);
        fault.begin(target);
        struckUntil = Math.max(struckUntil, now() + lasts);
        eventloop.delay(lasts, () -> fault.end(target));
        eventloop.delay(1 + random.nextInt(MOST_PAUSE_MILLIS), () -> strike(end));
    }

    private void drill(long versions) {
        command(fleet.store() + "/admin/drill?silentMs=" + SILENT_MILLIS + "&versions=" + versions, new byte[0]);
    }

    private void command(String target, byte[] body) {
        control.request(HttpRequest.post("http://" + target).withBody(body).build())
                .then(answer -> answer.loadBody(MAX_BODY_BYTES))
                .whenException(e -> faults.add("%s was not taken: %s".formatted(target, e)));
    }

    private void set(RouteFaults next) {
        try {
            command(fleet.proxyControl() + "/admin/faults", new ObjectMapper().writeValueAsBytes(next));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("faults of " + next.route() + " should always be written", e);
        }
    }

    private List<Violation> violations() throws IOException {
        Map<String, Path> files = new HashMap<>();
        for (int host = 0; host < fleet.hosts(); host++) {
            files.put("host-" + host, fleet.record(host));
        }
        List<ServedRun> served = Records.of(files);
        List<Violation> violations = new ArrayList<>(OwnershipCheck.of(served));
        violations.addAll(RequestCheck.of(callers.asks(), served));
        return violations;
    }

    @Override
    public void close() {
        callers.stop();
    }
}
