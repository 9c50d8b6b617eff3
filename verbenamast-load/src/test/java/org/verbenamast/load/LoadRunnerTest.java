package org.verbenamast.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.verbenamast.core.model.Address;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(value = 30, unit = TimeUnit.SECONDS)
class LoadRunnerTest {

    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final int CLOSED_MILLIS = 2_000;

    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    private void serve(ServerSocket listener) {
        try {
            while (true) {
                Socket connection = listener.accept();
                connections.add(connection);
                connection.getInputStream().read(new byte[4_096]);
                connection.getOutputStream().write(ANSWER);
            }
        } catch (IOException e) {
            // The test has ended.
        }
    }

    @Test
    void should_close_its_connections_before_it_reports() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            // given
            Thread server = new Thread(() -> serve(listener));
            server.setDaemon(true);
            server.start();
            Address target = new Address("127.0.0.1", listener.getLocalPort());

            // when
            LoadReport report =
                    LoadRunner.run(new LoadPlan(List.of(target), TargetKind.values()[0], List.of("/a/%d"), 1, 1, 1, 1));

            // then
            assertThat(report).isNotNull();
            assertThat(connections).hasSize(1);
            connections.get(0).setSoTimeout(CLOSED_MILLIS);
            assertThat(connections.get(0).getInputStream().read()).isEqualTo(-1);
        }
    }
}
