package org.verbenamast.relay.store;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.activej.eventloop.Eventloop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoreVersion;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.FollowResult;
import org.verbenamast.core.watch.FollowedTable;
import org.verbenamast.core.watch.OperatorRow;

import static org.assertj.core.api.Assertions.assertThat;

/** Reads of a row from a store over real sockets, whose answers tell eras that change, go down or can't be read. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class StoreClientEraTest implements StoreObserver {

    private static final String BODY = "{\"rows\":[],\"ver\":5}";
    private static final RowRef ROW = new RowRef(RowTable.MEMBERS, "node");

    private final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    private final List<StoreResult> results = new ArrayList<>();
    private final List<Long> eras = new ArrayList<>();
    private ServerSocket listener;
    private StoreClient client;
    private Thread server;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        client = new StoreClient(eventloop, new Address("127.0.0.1", listener.getLocalPort()), this);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        listener.close();
        server.join();
    }

    /** Answers one read after the other with the given headers, and returns the results. */
    private List<StoreResult> read(String... eraHeaders) {
        server = new Thread(() -> serve(eraHeaders));
        server.start();
        eventloop.keepAlive(true);
        eventloop.post(this::readNext);
        eventloop.delay(TimeUnit.SECONDS.toMillis(10), eventloop::breakEventloop);
        while (results.size() < eraHeaders.length) {
            eventloop.run();
            eventloop.post(this::readNext);
        }
        return results;
    }

    private void readNext() {
        client.run(new StoreEffect.Read(StorePurpose.MEMBERSHIP, results.size(), List.of(ROW)));
    }

    private void serve(String[] eraHeaders) {
        try (Socket socket = listener.accept()) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String header : eraHeaders) {
                while (!in.readLine().isEmpty()) {
                    // Skips the head of the call.
                }
                String head = "HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length() + "\r\n" + header + "\r\n";
                socket.getOutputStream().write((head + BODY).getBytes(StandardCharsets.ISO_8859_1));
            }
            while (in.read() >= 0) {
                // Waits for the client to close the connection.
            }
        } catch (IOException | NullPointerException e) {
            // The client has closed the connection.
        }
    }

    private static StoreResult missingIn(long era) {
        return new StoreResult.Read(List.of(new StoredRow(ROW, new StoreVersion(era, 5).packed(), Optional.empty())));
    }

    @Test
    void should_ignore_the_lower_era_when_the_store_answers_with_two_eras_in_turn() {
        // when
        List<StoreResult> read = read("Store-Era: 2\r\n", "Store-Era: 1\r\n", "Store-Era: 2\r\n");

        // then
        assertThat(read.get(0)).isEqualTo(missingIn(2));
        assertThat(read.get(1)).isInstanceOf(StoreResult.Failed.class);
        assertThat(read.get(2)).isEqualTo(missingIn(2));
        assertThat(eras).containsExactly(2L);
    }

    @Test
    void should_keep_the_known_era_when_an_answer_tells_none_that_can_be_read() {
        // when
        List<StoreResult> read = read(
                "",
                "Store-Era: 1\r\n",
                "Store-Era: odd\r\n",
                "Store-Era: -7\r\n",
                "Store-Era: 99999999999999999999\r\n",
                "Store-Era: 32768\r\n",
                "");

        // then
        assertThat(read.get(0)).isEqualTo(missingIn(0));
        assertThat(read.subList(1, 7)).containsOnly(missingIn(1));
        assertThat(eras).containsExactly(1L);
    }

    @Override
    public void onStoreResult(StorePurpose purpose, long callId, StoreResult result) {
        results.add(result);
        eventloop.breakEventloop();
    }

    @Override
    public void onStoreEra(long era) {
        eras.add(era);
    }

    @Override
    public StoredRow knownRow(RowRef ref) {
        return new StoredRow(ref, 0, Optional.empty());
    }

    @Override
    public void onAnswerArriving(FollowedTable table, long callId) {}

    @Override
    public void onFollowFailed(FollowResult result) {}

    @Override
    public void onOperatorRows(FollowResult result, List<OperatorRow> rows) {}

    @Override
    public void onSharedRows(FollowResult result, List<StoredRow> rows) {}
}
