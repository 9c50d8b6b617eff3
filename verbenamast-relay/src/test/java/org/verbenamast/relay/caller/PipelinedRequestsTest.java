package org.verbenamast.relay.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.generated.RelayAccepted;
import org.verbenamast.wire.generated.RelayFrame;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests behind one another on a connection: answers stay with their requests, whatever happens to each. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PipelinedRequestsTest extends CallerFixture {

    private static final Pattern ANSWER =
            Pattern.compile("HTTP/1\\.1 ([0-9]{3}) [^\r]*\r\n(.*?)\r\n\r\n", Pattern.DOTALL);

    /** Attempt ids in the order in which the nodes got them. */
    private final List<String> opened = new CopyOnWriteArrayList<>();
    /** Attempt ids whose link was closed by the caller's node before they were answered. */
    private final List<String> withdrawn = new CopyOnWriteArrayList<>();

    private final Map<String, CountDownLatch> gates = new ConcurrentHashMap<>();
    private final Map<String, PipelinedEnding> endings = new ConcurrentHashMap<>();

    private final List<Socket> links = new CopyOnWriteArrayList<>();
    private volatile Throwable callerFailure;
    private volatile boolean callerEnded;

    @AfterEach
    void closeLinks() throws IOException {
        gates.values().forEach(CountDownLatch::countDown);
        for (Socket link : links) {
            link.close();
        }
    }

    private CountDownLatch gate(String id) {
        return gates.computeIfAbsent(id, each -> new CountDownLatch(1));
    }

    private void serveNodes() {
        start(() -> {
            while (true) {
                Socket link = nodes.accept();
                links.add(link);
                start(() -> serve(link));
            }
        });
    }

    private void serve(Socket link) throws Exception {
        try (link) {
            FrameCodec<RelayFrame> codec = new FrameCodec<>(RelayFrame.getDefaultInstance(), MAX_FRAME_BYTES);
            byte[] buffer = new byte[PIECE_BYTES];
            String id = "";
            for (int length = link.getInputStream().read(buffer);
                    length >= 0;
                    length = link.getInputStream().read(buffer)) {
                codec.received(buffer, 0, length);
                for (RelayFrame frame = codec.next(); frame != null; frame = codec.next()) {
                    if (frame.hasOpen()) {
                        id = frame.getOpen().getAttemptId();
                        opened.add(id);
                        send(
                                link,
                                codec,
                                RelayFrame.newBuilder()
                                        .setAccepted(RelayAccepted.getDefaultInstance())
                                        .build());
                    }
                    if (frame.hasEnd()) {
                        awaitGate(link, id);
                        endings.getOrDefault(id, PipelinedEnding.ANSWER).send(link, codec, id);
                    }
                }
            }
        }
    }

    private void awaitGate(Socket link, String id) throws Exception {
        link.setSoTimeout(10);
        while (!gate(id).await(1, TimeUnit.MILLISECONDS)) {
            try {
                if (link.getInputStream().read() < 0) {
                    withdrawn.add(id);
                    throw new IOException("withdrawn");
                }
            } catch (java.net.SocketTimeoutException e) {
                // The request is still wanted.
            }
        }
        link.setSoTimeout(0);
    }

    private static String get(String id, String... fields) {
        return "GET /items HTTP/1.1\r\nHost: shop\r\n" + RequestFields.ATTEMPT_ID + ": " + id + "\r\n"
                + String.join("", fields) + "\r\n";
    }

    /** Runs a caller on a thread of its own, and the loop until it has ended. */
    private void run(CallerScript script) {
        serveNodes();
        start(() -> {
            try (Socket caller = new Socket()) {
                caller.connect(new InetSocketAddress(callers.host(), callers.port()));
                caller.setSoTimeout((int) LONGEST_TEST_MILLIS / 2);
                script.run(caller);
                callerEnded = true;
            } catch (IOException | AssertionError e) {
                callerFailure = e;
            } finally {
                eventloop.execute(eventloop::breakEventloop);
            }
        });
        eventloop.delay(LONGEST_TEST_MILLIS, eventloop::breakEventloop);
        eventloop.run();
        assertThat(callerFailure).isNull();
        assertThat(callerEnded).isTrue();
    }

    private interface CallerScript {
        void run(Socket caller) throws Exception;
    }

    private void awaitOpened(int count) throws InterruptedException {
        for (int step = 0; step < LONGEST_TEST_MILLIS / 4 && opened.size() < count; step++) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(opened).hasSizeGreaterThanOrEqualTo(count);
    }

    /** Reads answers until the connection ends, as "status id", and "cut" for one that is not complete. */
    private static List<String> readAnswers(Socket caller, int most) throws IOException {
        List<String> answers = new CopyOnWriteArrayList<>();
        while (answers.size() < most) {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = caller.getInputStream().read();
                if (next < 0) {
                    return answers;
                }
                head.append((char) next);
            }
            MatchResult match = ANSWER.matcher(head).results().findFirst().orElseThrow();
            String id = field(match.group(2), RequestFields.ATTEMPT_ID);
            int length = Integer.parseInt(field(match.group(2), "content-length"));
            String body = new String(caller.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
            boolean ownBody = body.isEmpty() || body.replace(id, "").isEmpty();
            answers.add((body.length() < length ? "cut " : match.group(1) + " ") + id + (ownBody ? "" : " MIXED"));
        }
        return answers;
    }

    private static String field(String head, String name) {
        return head.lines()
                .filter(line -> line.toLowerCase().startsWith(name.toLowerCase() + ": "))
                .map(line -> line.substring(name.length() + 2))
                .findFirst()
                .orElse("");
    }

    @ParameterizedTest
    @ValueSource(strings = {"abc", "acb", "bac", "bca", "cab", "cba"})
    void should_answer_in_the_order_of_the_requests_whatever_ends_first(String order) {
        run(caller -> {
            // given
            endings.put("b", PipelinedEnding.LARGE_ANSWER);
            write(caller, get("a") + get("b") + get("c"));
            awaitOpened(3);

            // when
            start(() -> order.chars().forEach(id -> {
                gate(Character.toString(id)).countDown();
                sleep();
            }));

            // then
            assertThat(readAnswers(caller, 3)).containsExactly("200 a", "200 b", "200 c");
        });
        assertThat(opened).containsExactlyInAnyOrder("a", "b", "c");
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(30);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void should_keep_answers_with_their_requests_when_some_are_refused_fail_or_run_out_of_time() {
        run(caller -> {
            // given
            endings.put("b", PipelinedEnding.REFUSAL);
            endings.put("c", PipelinedEnding.FAILURE);
            endings.put("e", PipelinedEnding.BROKEN_ANSWER);
            for (String id : List.of("b", "c", "e", "f")) {
                gate(id).countDown();
            }

            // when
            write(
                    caller,
                    get("a")
                            + get("b")
                            + get("c")
                            + get("d", RequestFields.TIME_LEFT + ": 300\r\n")
                            + get("e")
                            + get("f"));
            TimeUnit.MILLISECONDS.sleep(800);
            gate("a").countDown();

            // then
            List<String> answers = readAnswers(caller, 6);
            assertThat(answers).element(0).isEqualTo("200 a");
            assertThat(answers).element(3).isEqualTo("504 d");
            assertThat(answers.subList(1, 3)).allMatch(answer -> answer.matches("50[23] [bc]"));
            assertThat(answers).element(4).isIn("502 e", "cut e");
            assertThat(answers.stream().noneMatch(answer -> answer.contains("MIXED")))
                    .isTrue();
        });
    }

    @ParameterizedTest
    @ValueSource(strings = {"Connection: close\r\n", "HTTP/1.0", "malformed"})
    void should_pass_on_nothing_behind_the_last_request(String end) {
        run(caller -> {
            // given
            String last =
                    switch (end) {
                        case "HTTP/1.0" -> get("b").replace("HTTP/1.1", "HTTP/1.0");
                        case "malformed" -> "GET\r\n\r\n";
                        default -> get("b", end);
                    };
            gate("b").countDown();
            gate("c").countDown();

            // when
            write(caller, get("a") + last + get("c"));
            awaitOpened(1);
            TimeUnit.MILLISECONDS.sleep(100);
            gate("a").countDown();

            // then
            List<String> answers = readAnswers(caller, 3);
            assertThat(answers).containsExactly("200 a", "malformed".equals(end) ? "400 " : "200 b");
        });
        assertThat(opened).doesNotContain("c");
    }

    @Test
    void should_answer_what_is_begun_and_begin_nothing_else_when_the_node_stops() {
        run(caller -> {
            // given
            write(caller, get("a") + get("b"));
            awaitOpened(2);

            // when
            CountDownLatch stopped = new CountDownLatch(1);
            eventloop.execute(() -> {
                server.stop(Long.MAX_VALUE);
                stopped.countDown();
            });
            assertThat(stopped.await(LONGEST_TEST_MILLIS, TimeUnit.MILLISECONDS))
                    .isTrue();
            write(caller, get("c"));
            TimeUnit.MILLISECONDS.sleep(100);
            gate("b").countDown();
            gate("a").countDown();

            // then
            assertThat(readAnswers(caller, 3)).containsExactly("200 a", "200 b");
        });
        assertThat(opened).containsExactlyInAnyOrder("a", "b");
    }

    @Test
    void should_withdraw_all_requests_when_the_caller_goes_away() {
        run(caller -> {
            write(caller, get("a") + get("b") + get("c"));
            awaitOpened(3);
            caller.close();
            for (int step = 0; step < LONGEST_TEST_MILLIS && withdrawn.size() < 3; step++) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        });
        assertThat(withdrawn).containsExactlyInAnyOrder("a", "b", "c");
        assertThat(server.idle()).isTrue();
        assertThat(core.entry().isIdle()).isTrue();
    }

    @Test
    void should_hold_a_bounded_part_of_an_answer_that_waits_for_an_earlier_one() {
        run(caller -> {
            // given
            String ids = "bcdefghijklmnop";
            ids.chars().forEach(id -> {
                endings.put(Character.toString(id), PipelinedEnding.LARGE_ANSWER);
                gate(Character.toString(id)).countDown();
            });

            // when
            write(
                    caller,
                    get("a")
                            + ids.chars()
                                    .mapToObj(id -> get(Character.toString(id)))
                                    .reduce("", String::concat));
            awaitOpened(ids.length() + 1);
            TimeUnit.MILLISECONDS.sleep(300);
            CountDownLatch measured = new CountDownLatch(1);
            eventloop.execute(() -> {
                assertThat(clients.heldBytes()).isLessThan(2L * 1024 * 1024);
                measured.countDown();
            });
            assertThat(measured.await(LONGEST_TEST_MILLIS, TimeUnit.MILLISECONDS))
                    .isTrue();
            gate("a").countDown();

            // then
            List<String> answers = readAnswers(caller, ids.length() + 1);
            assertThat(answers)
                    .hasSize(ids.length() + 1)
                    .allMatch(answer -> answer.startsWith("200 ") && !answer.contains("MIXED"));
        });
    }
}
