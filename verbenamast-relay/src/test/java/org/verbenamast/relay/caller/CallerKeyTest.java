package org.verbenamast.relay.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenamast.core.manifest.CallerKeyDigest;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.ManifestGap;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.manifest.RequestLimits;
import org.verbenamast.core.manifest.Route;
import org.verbenamast.core.manifest.ServiceRules;
import org.verbenamast.core.manifest.Split;
import org.verbenamast.core.manifest.Tenant;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.WireException;
import org.verbenamast.wire.generated.RelayField;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.generated.RelayOpen;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests with the keys of tenants, at their entry node. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class CallerKeyTest extends CallerFixture {

    private static final int MAX_STEPS = 5_000;
    /** Time in which an entry node would have connected to another node, in steps of a millisecond. */
    private static final int QUIET_STEPS = 50;

    private Socket caller;

    @BeforeEach
    void connect() throws IOException {
        putTenants(2, "gold-key");
        caller = new Socket();
        caller.connect(new InetSocketAddress(callers.host(), callers.port()));
    }

    @AfterEach
    void disconnect() throws IOException {
        caller.close();
    }

    /** Puts a manifest with a tenant, a public route and, below it, a route that can't be read. */
    private void putTenants(long version, String key) {
        List<Split> splits = List.of(new Split("stock", 1));
        List<Route> routes = List.of(
                new Route("r", "shop", "/", RequestKind.SAFE, 60_000, 30_000, 3, 3, false, splits),
                new Route("open", "shop", "/open/", RequestKind.SAFE, 60_000, 30_000, 3, 3, true, splits));
        Tenant tenant = new Tenant("gold", List.of(CallerKeyDigest.of(key)), OptionalInt.of(0), 0, 0);
        core.manifest(
                new Manifest(
                        version,
                        routes,
                        List.of(new ServiceRules("stock", 10, 0, false)),
                        RequestLimits.DEFAULT,
                        List.of(tenant),
                        List.of(new ManifestGap("odd", "shop", "/open/odd/"))),
                0,
                effect -> {});
    }

    private void request(String path, String fields) throws IOException {
        write(
                caller,
                "GET " + path + " HTTP/1.1\r\nHost: shop\r\n" + RequestFields.ATTEMPT_ID + ": 1\r\n" + fields + "\r\n");
    }

    private static String key(String value) {
        return RequestFields.CALLER_KEY + ": " + value + "\r\n";
    }

    private void step() {
        eventloop.delay(1, eventloop::breakEventloop);
        eventloop.run();
    }

    private void runUntil(BooleanSupplier condition) {
        for (int step = 0; step < MAX_STEPS && !condition.getAsBoolean(); step++) {
            step();
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    private String answer() throws IOException {
        runUntil(() -> available(caller) > 0);
        return new String(caller.getInputStream().readNBytes(available(caller)), StandardCharsets.ISO_8859_1);
    }

    private static int available(Socket socket) {
        try {
            return socket.getInputStream().available();
        } catch (IOException e) {
            throw new AssertionError("the connection should be open", e);
        }
    }

    private Socket acceptNode() throws IOException {
        runUntil(() -> !server.idle());
        for (int step = 0; step < QUIET_STEPS; step++) {
            step();
        }
        nodes.setSoTimeout(5_000);
        return nodes.accept();
    }

    private RelayOpen open(Socket node) throws IOException, WireException {
        FrameCodec<RelayFrame> codec = new FrameCodec<>(RelayFrame.getDefaultInstance(), MAX_FRAME_BYTES);
        runUntil(() -> available(node) > 0);
        byte[] bytes = node.getInputStream().readNBytes(available(node));
        codec.received(bytes, 0, bytes.length);
        return codec.next().getOpen();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "X-Verbenamast-Key:\r\n",
                "X-Verbenamast-Key: other\r\n",
                "X-Verbenamast-Key: GOLD-KEY\r\n",
                "X-Verbenamast-Key: gold-key, gold-key\r\n",
                "X-Verbenamast-Key: gold-key\r\nx-verbenamast-key: gold-key\r\n",
                "X-Verbenamast-Key: gold\t-key\r\n",
                "X-Verbenamast-Tenant: gold\r\n"
            })
    void should_answer_401_and_send_nothing_on_when_no_key_names_a_tenant(String fields) throws IOException {
        // when
        request("/items", fields);

        // then
        assertThat(answer()).startsWith("HTTP/1.1 401");
        for (int step = 0; step < QUIET_STEPS; step++) {
            step();
        }
        nodes.setSoTimeout(1);
        assertThat(nodes).satisfies(each -> assertThat(hasConnection()).isFalse());
    }

    private boolean hasConnection() {
        try (Socket connection = nodes.accept()) {
            return connection.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void should_answer_401_when_a_key_is_as_long_as_a_head_may_be() throws IOException {
        request("/items", key("k".repeat(15_000)));

        assertThat(answer()).startsWith("HTTP/1.1 401");
    }

    @Test
    void should_name_the_tenant_and_keep_the_key_when_a_request_is_sent_on() throws Exception {
        // when
        request("/items", key("gold-key") + "X-Verbenamast-Tenant: silver\r\nOther: 1\r\n");

        // then
        try (Socket node = acceptNode()) {
            RelayOpen open = open(node);
            assertThat(open.getTenant()).isEqualTo("gold");
            assertThat(open.getPriority()).isZero();
            assertThat(open.getFieldsList())
                    .extracting(RelayField::getName)
                    .containsExactly(RequestFields.ATTEMPT_ID, "Other");
            assertThat(open.toString()).doesNotContain("gold-key").doesNotContain("silver");
        }
    }

    @Test
    void should_send_on_without_a_tenant_when_the_route_is_public() throws Exception {
        request("/open/items", "X-Verbenamast-Tenant: gold\r\n");

        try (Socket node = acceptNode()) {
            RelayOpen open = open(node);
            assertThat(open.getRoute()).isEqualTo("open");
            assertThat(open.getTenant()).isEmpty();
            assertThat(open.getPriority()).isEqualTo(3);
        }
    }

    @Test
    void should_answer_503_when_the_route_of_a_request_is_unreadable() throws IOException {
        request("/open/odd/items", "");

        assertThat(answer()).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after");
    }

    @Test
    void should_answer_401_on_a_kept_connection_when_the_key_was_withdrawn() throws IOException {
        // given
        request("/items", key("other"));
        assertThat(answer()).startsWith("HTTP/1.1 401");

        // when
        putTenants(3, "new-key");
        request("/items", key("gold-key"));

        // then
        assertThat(answer()).startsWith("HTTP/1.1 401");
    }

    @Test
    void should_end_a_request_that_waits_at_another_node_when_its_key_is_withdrawn() throws Exception {
        // given
        request("/items", key("gold-key"));
        try (Socket node = acceptNode()) {
            assertThat(open(node).getTenant()).isEqualTo("gold");

            // when
            putTenants(3, "new-key");
            loop.run((now, effects) -> server.onManifestChanged());

            // then
            assertThat(answer()).startsWith("HTTP/1.1 401");
            node.setSoTimeout(5_000);
            node.getInputStream().readAllBytes();
            assertThat(core.entry().isIdle()).isTrue();
            assertThat(server.idle()).isTrue();
        }
    }

    @Test
    void should_leave_a_waiting_request_when_its_key_stays() throws Exception {
        request("/items", key("gold-key"));
        try (Socket node = acceptNode()) {
            putTenants(3, "gold-key");
            loop.run((now, effects) -> server.onManifestChanged());

            assertThat(server.idle()).isFalse();
            assertThat(open(node).getTenant()).isEqualTo("gold");
        }
    }
}
