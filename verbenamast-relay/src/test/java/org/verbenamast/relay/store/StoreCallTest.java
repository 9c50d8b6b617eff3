package org.verbenamast.relay.store;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenamast.core.model.Address;
import org.verbenamast.platform.StoreMessage;

import static org.assertj.core.api.Assertions.assertThat;

/** Calls to a store over real sockets whose responses are slow, stall or are not needed any more. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class StoreCallTest {

    /** Time after the end of an impairment from which on the platform counts a node as in contact. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long FIRST_BYTE_TIMEOUT_MILLIS = 400;
    private static final int MAX_BYTES = 100;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n";

    private final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    private final List<StoreResponse> responses = new ArrayList<>();
    private final List<Integer> arrivals = new ArrayList<>();
    private ServerSocket listener;
    private StoreConnectionPool pool;
    private Thread server;
    private volatile boolean closedByClient;

    /** What the store does once it has received a call. */
    private interface Script {
        void answer(OutputStream out) throws Exception;
    }

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        pool = new StoreConnectionPool(eventloop, new Address("127.0.0.1", listener.getLocalPort()));
    }

    @AfterEach
    void stop() throws Exception {
        pool.close();
        listener.close();
        server.join();
    }

    /** Serves one call, then reads until the client closes the connection. */
    private void serve(Script script) {
        server = new Thread(() -> {
            try (Socket socket = listener.accept()) {
                socket.getInputStream().read();
                script.answer(socket.getOutputStream());
                while (socket.getInputStream().read() >= 0) {
                    // Skips the rest of the call.
                }
                closedByClient = true;
            } catch (Exception e) {
                closedByClient = true;
            }
        });
        server.start();
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private void run(long closeAfterMillis) {
        eventloop.keepAlive(true);
        eventloop.post(() -> {
            StoreCall call = pool.send(StoreMessage.follow("t", 0, 1), FIRST_BYTE_TIMEOUT_MILLIS, MAX_BYTES)
                    .whenArriving(() -> arrivals.add(responses.size()));
            call.response().whenResult(response -> {
                responses.add(response);
                eventloop.breakEventloop();
            });
            if (closeAfterMillis > 0) {
                eventloop.delay(closeAfterMillis, call::close);
            }
        });
        ScheduledRunnable limit = eventloop.delay(CONTACT_MILLIS, eventloop::breakEventloop);
        eventloop.run();
        limit.cancel();
    }

    /** Guards against an answer that is thrown away while it arrives. */
    @Test
    void should_wait_for_the_whole_response_when_it_takes_longer_than_the_time_for_its_first_byte() {
        // given
        serve(out -> {
            write(out, HEAD);
            for (int i = 0; i < 6; i++) {
                Thread.sleep(FIRST_BYTE_TIMEOUT_MILLIS / 2);
                write(out, "x");
            }
        });

        // when
        run(0);

        // then
        assertThat(responses).hasSize(1);
        assertThat(responses.get(0).ok()).isTrue();
        assertThat(responses.get(0).body()).hasSize(6);
        assertThat(arrivals).containsExactly(0);
    }

    @Test
    void should_fail_within_the_contact_time_when_a_response_stalls() {
        // given
        serve(out -> write(out, HEAD + "xxx"));

        // when
        run(0);

        // then
        assertThat(responses).hasSize(1);
        assertThat(responses.get(0).status()).isZero();
        assertThat(arrivals).containsExactly(0);
    }

    @Test
    void should_fail_when_no_byte_arrives() {
        // given
        serve(out -> {});

        // when
        run(0);

        // then
        assertThat(responses).hasSize(1);
        assertThat(responses.get(0).status()).isZero();
        assertThat(arrivals).isEmpty();
    }

    @Test
    void should_close_the_connection_and_have_no_result_when_the_call_is_closed() throws Exception {
        // given
        serve(out -> write(out, HEAD + "xxx"));

        // when
        run(FIRST_BYTE_TIMEOUT_MILLIS / 2);

        // then
        assertThat(responses).isEmpty();
        server.join();
        assertThat(closedByClient).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 1000", "Transfer-Encoding: chunked"})
    void should_not_receive_a_response_that_is_longer_than_allowed(String length) throws Exception {
        // given
        String chunk = "64\r\n" + "x".repeat(100) + "\r\n";
        serve(out -> write(out, "HTTP/1.1 200 OK\r\n" + length + "\r\n\r\n" + chunk.repeat(2)));

        // when
        run(0);

        // then
        assertThat(responses).hasSize(1);
        assertThat(responses.get(0).oversized()).isTrue();
        server.join();
        assertThat(closedByClient).isTrue();
    }
}
