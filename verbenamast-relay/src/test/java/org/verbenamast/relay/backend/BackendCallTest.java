package org.verbenamast.relay.backend;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenamast.core.admission.AdmissionRequest;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.wire.generated.RelayOpen;

import static org.assertj.core.api.Assertions.assertThat;

/** Calls to a backend server that misbehaves, over real sockets. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class BackendCallTest {

    /** Far more than any head, line or trailer may have, in bytes; an endless answer is cut off there by the server. */
    private static final int ENDLESS_BYTES = 4 * 1024 * 1024;

    private static final int PIECE_BYTES = 8 * 1024;
    /** Time after which a test gives up a call, in milliseconds. */
    private static final long LONGEST_CALL_MILLIS = 5_000;

    private static final String OK = "HTTP/1.1 200 OK\r\nX-Verbenamast-Response-Signature: s\r\n";

    /** What the server does with one request on a connection. */
    private interface Script {
        void answer(int number, OutputStream out) throws IOException;
    }

    private final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    private final List<Thread> threads = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicBoolean endedByCaller = new AtomicBoolean();
    private ServerSocket listener;
    private BackendPool pool;
    private long lastId;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String answer(String id, String body) {
        return OK + "X-Verbenamast-Attempt-Id: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String refusal(String idField) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Verbenamast-Not-Executed: 1\r\n" + idField
                + "Content-Length: 0\r\n\r\n";
    }

    private static byte[] failure(int number) {
        return bytes(answer("attempt-" + number, "failed").replace("200 OK", "500 Internal Server Error"));
    }

    private void serve(Script script) throws IOException {
        listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    connections.incrementAndGet();
                    sockets.add(socket);
                    Thread connection = new Thread(() -> serve(socket, script));
                    threads.add(connection);
                    connection.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        threads.add(acceptor);
        acceptor.start();
        pool = new BackendPool(eventloop, new Address("127.0.0.1", listener.getLocalPort()));
    }

    private void serve(Socket socket, Script script) {
        try (socket) {
            int number = 0;
            while (readHead(socket)) {
                script.answer(number++, socket.getOutputStream());
                socket.getOutputStream().flush();
            }
        } catch (IOException e) {
            endedByCaller.set(true);
        }
    }

    private static boolean readHead(Socket socket) throws IOException {
        int matched = 0;
        while (matched < 4) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return false;
            }
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
        }
        return true;
    }

    private static void writeEndlessly(OutputStream out, String piece) throws IOException {
        byte[] block = bytes(piece.repeat(PIECE_BYTES / piece.length()));
        for (long written = 0; written < ENDLESS_BYTES; written += block.length) {
            out.write(block);
        }
        throw new AssertionError("the caller should have closed the connection");
    }

    /** One call and what its observer saw. */
    private final class Call implements BackendCall.Observer {

        private final String id;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final BackendCall call;
        private String end = "";
        private int status;
        private boolean hasRoom = true;

        private Call() {
            this("attempt-" + ++lastId);
        }

        private Call(String id) {
            this.id = id;
            long now = RelayLoop.now();
            AdmissionRequest request = new AdmissionRequest(
                    lastId,
                    id,
                    "r",
                    "stock",
                    new ServerIncarnation("i-1", 1),
                    RequestKind.SAFE,
                    1,
                    OptionalInt.empty(),
                    true,
                    now,
                    now + Timing.millisToNanos(300),
                    now + Timing.millisToNanos(2_000));
            RelayOpen open = RelayOpen.newBuilder()
                    .setMethod("GET")
                    .setTarget("/")
                    .setHost("h")
                    .build();
            this.call = new BackendCall(pool, request, open, this);
        }

        private Call run() {
            eventloop.keepAlive(true);
            eventloop.post(() -> {
                call.begin();
                call.endBody();
            });
            ScheduledRunnable limit = eventloop.delay(LONGEST_CALL_MILLIS, eventloop::breakEventloop);
            eventloop.run();
            limit.cancel();
            return this;
        }

        private void end(String how) {
            end = how;
            if (!"head".equals(how)) {
                // Lets the loop read what else the server has sent before the next call.
                eventloop.delay(20, eventloop::breakEventloop);
            }
        }

        @Override
        public void onUnsent() {
            end("unsent");
        }

        @Override
        public void onNotRun(boolean misdirected) {
            end("not run");
        }

        @Override
        public void onAnswerHead(HttpResponse head, long length) {
            status = head.status().code();
            end("head");
        }

        @Override
        public void onAnswerBody(byte[] bytes) {
            if (!hasRoom || body.size() < PIECE_BYTES) {
                body.writeBytes(bytes);
            } else if (end.equals("head")) {
                call.close();
                end("closed");
            }
        }

        @Override
        public void onAnswerEnd() {
            end("answered");
        }

        @Override
        public void onBroken() {
            end("broken");
        }

        @Override
        public Promise<Void> room() {
            return hasRoom ? Promise.complete() : new SettablePromise<>();
        }
    }

    @AfterEach
    void stopServer() throws Exception {
        pool.close();
        listener.close();
        threads.get(0).join();
        for (Socket socket : sockets) {
            socket.close();
        }
        for (Thread thread : List.copyOf(threads)) {
            thread.join();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "x",
                "HTTP/1.1 200 OK\r\nX-Odd: x\r\n|X-Odd: x\r\n",
                "HTTP/1.1 200 OK\r\nX-Odd: x|x",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\n5;|x",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n|X-Odd: x\r\n",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\n|0"
            })
    void should_close_the_connection_when_a_part_of_an_answer_never_ends(String script) throws IOException {
        // given
        int bar = script.indexOf('|');
        serve((number, out) -> {
            out.write(bytes(bar < 0 ? "" : script.substring(0, bar)));
            writeEndlessly(out, script.substring(bar + 1));
        });

        // when
        Call call = new Call().run();

        // then
        assertThat(call.end).isEqualTo("broken");
        assertThat(call.body.size()).isLessThan(PIECE_BYTES);
    }

    @Test
    void should_stop_an_endless_body_when_the_call_is_closed() throws Exception {
        // given
        serve((number, out) -> {
            out.write(bytes(OK + "X-Verbenamast-Attempt-Id: attempt-1\r\n\r\n"));
            writeEndlessly(out, "x");
        });

        // when
        Call call = new Call().run();

        // then
        assertThat(call.end).isEqualTo("closed");
        threads.get(1).join();
        assertThat(endedByCaller).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000_000})
    void should_give_each_request_its_own_answer_when_the_server_sends_copies(int pieceBytes) throws IOException {
        // given
        AtomicInteger requests = new AtomicInteger();
        serve((number, out) -> {
            int request = requests.incrementAndGet();
            String copy = number == 0 ? "" : answer("attempt-" + (request - 1), "of the one before");
            byte[] all = bytes(copy + answer("attempt-" + request, "own " + request));
            for (int from = 0; from < all.length; from += pieceBytes) {
                out.write(all, from, Math.min(pieceBytes, all.length - from));
                out.flush();
            }
        });

        // then
        for (int i = 1; i <= 5; i++) {
            Call call = new Call().run();
            assertThat(call.end).isEqualTo("answered");
            assertThat(call.body.toString(StandardCharsets.UTF_8)).isEqualTo("own " + i);
        }
    }

    @Test
    void should_not_use_a_connection_again_when_bytes_came_after_the_answer() throws IOException {
        // given
        AtomicInteger answered = new AtomicInteger();
        serve((number, out) -> {
            int attempt = answered.incrementAndGet();
            out.write(bytes(answer("attempt-" + attempt, "own " + attempt).repeat(2)));
        });

        // when
        Call first = new Call().run();
        Call second = new Call().run();

        // then
        assertThat(first.body.toString(StandardCharsets.UTF_8)).isEqualTo("own 1");
        assertThat(second.body.toString(StandardCharsets.UTF_8)).isEqualTo("own 2");
        assertThat(connections.get()).isEqualTo(2);
    }

    /** Guards against a failure that reached its caller as a success, with the status of bytes after an answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "H",
                "\r\n",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nContent-Type: text/pl",
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nhalf",
                "not HTTP at all"
            })
    void should_report_the_failure_when_a_fragment_came_after_the_answer_before(String fragment) throws IOException {
        // given
        AtomicInteger requests = new AtomicInteger();
        serve((number, out) -> {
            int request = requests.incrementAndGet();
            out.write(request == 1 ? bytes(answer("attempt-1", "own") + fragment) : failure(request));
        });

        // when
        Call first = new Call().run();
        Call second = new Call().run();

        // then
        assertThat(first.end).isEqualTo("answered");
        assertThat(second.end).isEqualTo("answered");
        assertThat(second.status).isEqualTo(500);
        assertThat(connections.get()).isEqualTo(2);
    }

    /** Guards against the same when the bytes arrive only after the next request was sent on the connection. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 2",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nX-Odd",
                "HTTP/1.1 200 OK\r\nX-Odd:",
                "HTTP/1.1 200 OK\r\nX-Odd: x",
                "HTTP/1.1 200 OK\r\nX-Odd: x\r\n",
                "HTTP/1.1 200 OK\r\nX-Odd: x\r\n "
            })
    void should_never_merge_a_late_fragment_with_the_head_of_an_answer(String fragment) throws IOException {
        // given
        serve((number, out) -> {
            out.write(number == 0 ? bytes(answer("attempt-1", "own")) : bytes(fragment));
            out.write(number == 0 ? new byte[0] : failure(number + 1));
        });

        // when
        Call first = new Call().run();
        Call second = new Call().run();

        // then
        assertThat(first.end).isEqualTo("answered");
        assertThat(second.end).isEqualTo("broken");
    }

    @Test
    void should_not_use_a_connection_again_when_an_answer_of_an_earlier_request_came_on_it() throws IOException {
        // given
        AtomicInteger requests = new AtomicInteger();
        serve((number, out) -> {
            int request = requests.incrementAndGet();
            String copy = number == 1 ? answer("attempt-1", "own 1") : "";
            out.write(bytes(copy + answer("attempt-" + request, "own " + request)));
        });

        // then
        for (int i = 1; i <= 3; i++) {
            assertThat(new Call().run().body.toString(StandardCharsets.UTF_8)).isEqualTo("own " + i);
        }
        assertThat(connections.get()).isEqualTo(2);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 2",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nContent-Length: 5",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nContent-Length: 50\r\n\r\nhalf",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
                OK + "X-Verbenamast-Attempt-Id: attempt-1\r\nTransfer-Encoding: chunked\r\n\r\nodd\r\nhalf"
            })
    void should_never_complete_when_an_answer_breaks_off(String part) throws IOException {
        // given
        serve((number, out) -> {
            out.write(bytes(part));
            out.flush();
            throw new IOException("the server ends the connection");
        });

        // then
        assertThat(new Call().run().end).isEqualTo("broken");
    }

    /** Guards against "not run" for a request that runs: a refusal of an earlier request came once more. */
    @ParameterizedTest
    @ValueSource(strings = {"X-Verbenamast-Attempt-Id: attempt-1\r\n", "X-Verbenamast-Attempt-Id: \r\n", ""})
    void should_never_report_a_request_as_not_run_on_the_refusal_of_another_one(String idField) throws IOException {
        // given
        AtomicInteger requests = new AtomicInteger();
        serve((number, out) -> {
            boolean first = requests.incrementAndGet() == 1;
            out.write(bytes(first ? refusal("X-Verbenamast-Attempt-Id: attempt-1\r\n") : refusal(idField)));
            out.write(bytes(first ? "" : answer("attempt-2", "own")));
        });

        // when
        Call first = new Call().run();
        Call second = new Call().run();

        // then
        assertThat(first.end).isEqualTo("not run");
        assertThat(second.end).isEqualTo(idField.isEmpty() ? "broken" : "answered");
    }

    /** Guards against the same for a request that is sent again to the server that refused it. */
    @Test
    void should_use_another_connection_when_a_request_is_sent_again_after_its_refusal() throws IOException {
        // given
        AtomicInteger requests = new AtomicInteger();
        serve((number, out) -> {
            boolean first = requests.incrementAndGet() == 1;
            boolean isCopy = number > 0;
            String refusal = refusal("X-Verbenamast-Attempt-Id: same\r\n");
            out.write(bytes(first || isCopy ? refusal : answer("same", "own")));
        });

        // when
        Call first = new Call("same").run();
        Call again = new Call("same").run();
        Call other = new Call("other").run();

        // then
        assertThat(first.end).isEqualTo("not run");
        assertThat(again.end).isEqualTo("answered");
        assertThat(connections.get()).isEqualTo(2);
        assertThat(other.end).isNotEqualTo("unsent");
    }

    /** Guards against a call that keeps or waits for what is no answer to it, without end. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\n\r\n|HTTP/1.1 100 Continue\r\n\r\n",
                OK + "X-Verbenamast-Attempt-Id: other\r\n\r\n|x",
                OK + "X-Verbenamast-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n|" + OK
                        + "X-Verbenamast-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Full\r\nX-Verbenamast-Not-Executed: 1\r\nX-Verbenamast-Attempt-Id: attempt-1\r\n\r\n|x"
            })
    void should_close_the_connection_when_bytes_that_answer_nothing_never_end(String script) throws Exception {
        // given
        int bar = script.indexOf('|');
        serve((number, out) -> {
            out.write(bytes(script.substring(0, bar)));
            while (true) {
                out.write(bytes(script.substring(bar + 1).repeat(PIECE_BYTES)));
            }
        });

        // when
        Call call = new Call().run();

        // then
        assertThat(call.end).isEqualTo(script.startsWith("HTTP/1.1 503") ? "not run" : "broken");
        assertThat(call.body.size()).isZero();
        threads.get(1).join();
        assertThat(endedByCaller).isTrue();
    }

    /** Guards against a node that keeps an endless body in memory while its caller does not read. */
    @Test
    void should_leave_an_endless_body_in_the_network_when_nobody_takes_it() throws IOException {
        // given
        serve((number, out) -> {
            out.write(bytes(OK + "X-Verbenamast-Attempt-Id: attempt-1\r\n\r\n"));
            while (true) {
                out.write(new byte[PIECE_BYTES]);
            }
        });
        Call call = new Call();
        call.hasRoom = false;

        // when
        call.run();
        call.call.close();

        // then
        assertThat(call.end).isEqualTo("head");
        assertThat(call.body.size()).isLessThan(ENDLESS_BYTES);
    }
}
