package org.verbenamast.it.check;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

import io.activej.async.callback.AsyncComputation;
import io.activej.eventloop.Eventloop;
import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.it.deploy.Http;
import org.verbenamast.it.deploy.Plans;

/**
 * Callers of the keyed service: they ask at a fixed rate until the workload is closed, and keep what they got. All of
 * their state belongs to one event loop, which runs beside the thread of the test.
 */
public final class Workload implements AutoCloseable {

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long PATIENCE_MILLIS = 20_000;
    /** Time between looks at what is due, in milliseconds; a part of the time between two requests at usual rates. */
    private static final long LOOK_MILLIS = 2;

    private static final int KEYS = 500;
    private static final int MAX_BYTES = 4_096;
    private static final int ORDERS_ONE_IN = 4;
    private static final Duration TIMEOUT = Duration.ofSeconds(12);

    private final List<HostPlan> hosts;
    private final Random random;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final Eventloop loop = Eventloop.create();
    private final Thread thread = new Thread(loop, "callers");
    private final List<Ask> asks = new ArrayList<>();
    private final long everyMicros;
    private long dueMicros;
    private int sent;
    private boolean stopped;

    private Workload(DeploymentPlan plan, int rate, long seed) {
        this.everyMicros = MICROS_PER_SECOND / rate;
        this.hosts = plan.hosts();
        this.random = new Random(seed);
    }

    /**
     * Starts to ask.
     *
     * @param plan the deployment
     * @param rate requests per second
     * @param seed the seed of the random choices
     * @return the workload, which is to be closed
     */
    public static Workload start(DeploymentPlan plan, int rate, long seed) {
        Workload workload = new Workload(plan, rate, seed);
        workload.loop.keepAlive(true);
        workload.loop.execute(workload::begin);
        workload.thread.start();
        return workload;
    }

    private void begin() {
        dueMicros = Question.micros();
        askWhatIsDue();
    }

    private void askWhatIsDue() {
        if (stopped) {
            return;
        }
        for (; dueMicros <= Question.micros(); dueMicros += everyMicros) {
            ask();
        }
        loop.delay(LOOK_MILLIS, this::askWhatIsDue);
    }

    private void ask() {
        String key = "key-" + random.nextInt(KEYS);
        boolean order = random.nextInt(ORDERS_ONE_IN) == 0;
        int bytes = order ? 0 : 1 + random.nextInt(MAX_BYTES);
        Question question = new Question(order ? "POST" : "GET", "/items/" + key, key, bytes, "ask-" + ++sent);
        send(question, random.nextInt(hosts.size()), hosts.size());
    }

    private static HttpRequest request(Question question, HostPlan host) {
        String query = question.bytes() == 0 ? "" : "?bytes=" + question.bytes();
        return Http.to(host.callers(), "/" + Plans.KEYED + question.path() + query)
                .header("Verbenamast-Key", question.key())
                .header("Idempotency-Key", question.id())
                .method(question.method(), HttpRequest.BodyPublishers.noBody())
                .timeout(TIMEOUT)
                .build();
    }

    /** Asks a node; where it takes no connection, nothing was sent, and the next node is asked. */
    private void send(Question question, int first, int tries) {
        long start = Question.micros();
        HostPlan host = hosts.get(first % hosts.size());
        http.sendAsync(request(question, host), HttpResponse.BodyHandlers.ofByteArray())
                .whenComplete((answer, e) -> loop.execute(() -> {
                    if (e != null && Question.isNotConnected(e) && tries > 1) {
                        send(question, first + 1, tries - 1);
                    } else {
                        asks.add(e == null ? answered(question, start, answer) : question.failed(start, e));
                    }
                }));
    }

    private static Ask answered(Question question, long start, HttpResponse<byte[]> answer) {
        AskOutcome outcome = AskOutcome.of(header(answer, "Verbenamast-Outcome"));
        return question.ended(start, outcome, header(answer, "Verbenamast-Reason"), answer.body());
    }

    private static String header(HttpResponse<?> answer, String name) {
        return answer.headers().firstValue(name).orElse("");
    }

    /**
     * Stops to ask and waits for the last answers.
     *
     * @return all requests and what came of them
     * @throws IOException where a request never ends
     */
    public List<Ask> finish() throws IOException {
        stop();
        Deployment.await("all requests have ended", PATIENCE_MILLIS, () -> ask(() -> asks.size() == sent));
        List<Ask> all = ask(() -> List.copyOf(asks));
        close();
        return all;
    }

    /** Asks the loop, from the thread of the test. */
    private <T> T ask(Supplier<T> question) {
        return loop.submit(AsyncComputation.of(question::get)).join();
    }

    private void stop() {
        loop.execute(() -> stopped = true);
    }

    @Override
    public void close() {
        stop();
        loop.execute(() -> loop.keepAlive(false));
        try {
            thread.join(PATIENCE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
