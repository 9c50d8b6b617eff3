package org.verbenamast.it;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.it.deploy.Plans;
import org.verbenamast.it.deploy.Wiring;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.Opening;
import org.verbenamast.wire.PeerCodec;
import org.verbenamast.wire.generated.Envelope;
import org.verbenamast.wire.generated.Member;

import static org.assertj.core.api.Assertions.assertThat;

class PeerInputTest {

    private static final byte[] GARBAGE = {4, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff};
    private static final byte[] LENGTH_OF_256_MIB = {(byte) 0x80, (byte) 0x80, (byte) 0x80, (byte) 0x80, 1};
    private static final int MAX_FRAME_BYTES = 1 << 20;

    private static Deployment deployment;
    private static HostPlan host;

    @BeforeAll
    static void start() throws IOException {
        deployment = Deployed.start(Plans.small("peer-input", 2, 0), Wiring.DIRECT);
        host = deployment.plan().hosts().get(0);
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    @Test
    void should_count_and_serve_on_when_a_frame_is_broken() throws IOException {
        double before = count("broken_frame");
        try (Socket link = link()) {
            send(link, GARBAGE);
            awaitCount("broken_frame", before + 1);
            assertThat(link.getInputStream().read())
                    .as("the node ends the link")
                    .isEqualTo(-1);
        }
        shouldServe();
    }

    @Test
    void should_end_the_link_when_a_frame_is_over_the_limit() throws IOException {
        double before = count("broken_frame");
        try (Socket link = link()) {
            send(link, LENGTH_OF_256_MIB);
            awaitCount("broken_frame", before + 1);
            assertThat(link.getInputStream().read())
                    .as("the node ends the link")
                    .isEqualTo(-1);
        }
        shouldServe();
    }

    @Test
    void should_skip_and_count_when_the_kind_is_unknown() throws IOException {
        Member from = Member.newBuilder().setNode("newer").setIncarnation(1).build();
        try (Socket link = link();
                FrameCodec<Envelope> codec = new FrameCodec<>(Envelope.getDefaultInstance(), MAX_FRAME_BYTES)) {
            byte[] frame = codec.encode(Envelope.newBuilder().setFrom(from).build());
            send(link, frame);
            awaitCount("unknown_kind", 1);
            send(link, frame);
            awaitCount("unknown_kind", 2);
        }
        shouldServe();
    }

    @Test
    void should_end_the_link_when_it_is_meant_for_an_earlier_run() throws IOException {
        MemberId sender = new MemberId("other", 5);
        MemberId earlier = new MemberId(host.name(), 1);
        Opening opening = new Opening(new Address("127.0.0.1", 1), earlier);
        PeerMessage vouched = new PeerMessage.LeaseReply(0, true);
        try (Socket link = link();
                FrameCodec<Envelope> codec = new FrameCodec<>(Envelope.getDefaultInstance(), MAX_FRAME_BYTES)) {
            send(link, codec.encode(PeerCodec.encodeFirst(sender, opening, vouched)));
            awaitCount("misaddressed", 1);
            assertThat(link.getInputStream().read())
                    .as("the node ends the link")
                    .isEqualTo(-1);
        }
        shouldServe();
    }

    private static Socket link() throws IOException {
        Address address = Address.parse(host.peers());
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(address.host(), address.port()));
        socket.setSoTimeout((int) Deployed.HUNG_MILLIS);
        return socket;
    }

    private static void send(Socket link, byte[] bytes) throws IOException {
        OutputStream out = link.getOutputStream();
        out.write(bytes);
        out.flush();
    }

    private static void awaitCount(String fault, double wanted) throws IOException {
        Deployment.await(fault + " is " + wanted, Deployed.HUNG_MILLIS, () -> count(fault) == wanted);
    }

    private static double count(String fault) throws IOException {
        String sample = "verbenamast_peer_refused_messages_total{fault=\"" + fault + "\"} ";
        return Deployed.metrics(host)
                .lines()
                .filter(line -> line.startsWith(sample))
                .mapToDouble(line -> Double.parseDouble(line.substring(sample.length())))
                .sum();
    }

    private static void shouldServe() throws IOException {
        for (HostPlan other : deployment.plan().hosts()) {
            assertThat(Deployed.ask(other, "key-1").statusCode()).isEqualTo(200);
        }
    }
}
