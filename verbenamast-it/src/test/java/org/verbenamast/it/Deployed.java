package org.verbenamast.it;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.it.deploy.Http;
import org.verbenamast.it.deploy.Plans;
import org.verbenamast.it.deploy.Wiring;

/** What the tests with real processes share. */
final class Deployed {

    static final Path ROOT = Path.of("..");
    /** After this time a wait counts as hung, in milliseconds; far above what any step takes. */
    static final long HUNG_MILLIS = 60_000;
    /** After this time a start counts as hung, in milliseconds: a dozen programs may share one slow core. */
    private static final long START_MILLIS = 180_000;

    private Deployed() {}

    static Deployment start(DeploymentPlan plan, Wiring wiring) throws IOException {
        Deployment deployment = Deployment.start(plan, wiring, ROOT);
        try {
            deployment.awaitServing(START_MILLIS);
            return deployment;
        } catch (IOException e) {
            deployment.close();
            throw e;
        }
    }

    static HttpResponse<byte[]> ask(HostPlan host, String key) throws IOException {
        return Http.send(Http.to(host.callers(), pathOf(key)).header("Verbenamast-Key", key));
    }

    static String pathOf(String key) {
        return "/" + Plans.KEYED + "/items/" + key;
    }

    static String header(HttpResponse<?> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }

    static String text(HttpResponse<byte[]> response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    static String metrics(HostPlan host) throws IOException {
        return text(Http.send(Http.to(host.operators(), "/metrics")));
    }
}
