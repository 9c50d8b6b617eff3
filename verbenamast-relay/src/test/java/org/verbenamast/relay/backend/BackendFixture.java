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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.verbenamast.core.admission.AdmissionRequest;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.ServerLoad;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.wire.generated.RelayOpen;

/** A backend server over real sockets that a test scripts, and calls to it. */
abstract class BackendFixture {

    /** Far more than any head, line or trailer may have, in bytes; an endless answer is cut off there by the server. */
    static final int ENDLESS_BYTES = 4 * 1024 * 1024;
    /** What a server writes at most to a caller that should close; more than the buffers of two sockets take. */
    private static final long MOST_WRITTEN_BYTES = 256L * 1024 * 1024;

    static final int PIECE_BYTES = 8 * 1024;
    /** Time after which a test gives up a call, in milliseconds. */
    static final long LONGEST_CALL_MILLIS = 5_000;

    static final String OK = "HTTP/1.1 200 OK\r\nX-Verbenamast-Response-Signature: s\r\n";

    /** What the server does with one request on a connection. */
    interface Script {
        void answer(int number, OutputStream out) throws IOException;
    }

    final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    final List<Thread> threads = new ArrayList<>();
    final List<Socket> sockets = new ArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    final AtomicBoolean endedByCaller = new AtomicBoolean();
    ServerSocket listener;
    BackendPool pool;
    long lastId;

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String answer(String id, String body) {
        return OK + "X-Verbenamast-Attempt-Id: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String refusal(String idField) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Verbenamast-Not-Executed: 1\r\n" + idField
                + "Content-Length: 0\r\n\r\n";
    }

    static byte[] failure(int number) {
        return bytes(answer("attempt-" + number, "failed").replace("200 OK", "500 Internal Server Error"));
    }

    void serve(Script script) throws IOException {
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

    void serve(Socket socket, Script script) {
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

    static boolean readHead(Socket socket) throws IOException {
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

    static void writeEndlessly(OutputStream out, String piece) throws IOException {
        byte[] block = bytes(piece.repeat(PIECE_BYTES / piece.length()));
        for (long written = 0; written < MOST_WRITTEN_BYTES; written += block.length) {
            out.write(block);
        }
        throw new AssertionError("the caller should have closed the connection");
    }

    /** One call and what its observer saw. */
    final class Call implements BackendCall.Observer {

        private final String id;
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        final BackendCall call;
        String end = "";
        int status;
        ServerLoad load;
        boolean hasRoom = true;

        Call() {
            this("attempt-" + ++lastId);
        }

        Call(String id) {
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

        Call run() {
            return run(() -> {});
        }

        /** Runs the call, and an action while a connection is being opened. */
        Call run(Runnable whileConnecting) {
            eventloop.keepAlive(true);
            eventloop.post(() -> {
                call.begin();
                whileConnecting.run();
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
        public void onServerLoad(ServerLoad reported) {
            load = reported;
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
}
