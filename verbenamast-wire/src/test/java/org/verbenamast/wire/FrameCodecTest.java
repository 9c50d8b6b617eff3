package org.verbenamast.wire;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.wire.generated.Envelope;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class FrameCodecTest {

    private static final int LIMIT = 1_000;
    private static final MemberId SENDER = new MemberId("stock-1", 7);
    private static final Envelope VOUCH =
            PeerCodec.encode(SENDER, new PeerMessage.LeaseRequest(new MemberId("stock-2", 9), 5));

    private static WireException received(FrameCodec<Envelope> codec, byte[] bytes) {
        return catchThrowableOfType(WireException.class, () -> codec.received(bytes, 0, bytes.length));
    }

    @Test
    void should_give_each_message_when_bytes_come_one_by_one() throws WireException {
        try (FrameCodec<Envelope> codec = new FrameCodec<>(Envelope.getDefaultInstance(), LIMIT)) {
            byte[] frame = codec.encode(VOUCH);
            for (int i = 0; i < frame.length; i++) {
                assertThat(codec.next()).isNull();
                codec.received(frame, i, 1);
            }
            assertThat(codec.next()).isEqualTo(VOUCH);
            assertThat(codec.next()).isNull();
        }
    }

    @Test
    void should_give_all_messages_when_several_frames_come_at_once() throws WireException {
        try (FrameCodec<Envelope> codec = new FrameCodec<>(Envelope.getDefaultInstance(), LIMIT)) {
            byte[] frame = codec.encode(VOUCH);
            byte[] two = new byte[2 * frame.length];
            System.arraycopy(frame, 0, two, 0, frame.length);
            System.arraycopy(frame, 0, two, frame.length, frame.length);
            codec.received(two, 0, two.length);
            assertThat(codec.next()).isEqualTo(VOUCH);
            assertThat(codec.next()).isEqualTo(VOUCH);
        }
    }

    @Test
    void should_refuse_when_a_frame_is_over_the_limit() {
        try (FrameCodec<Envelope> codec = new FrameCodec<>(Envelope.getDefaultInstance(), LIMIT)) {
            WireException refused = received(codec, new byte[] {(byte) 0xe9, 0x07});
            assertThat(refused.fault()).isEqualTo(WireFault.BROKEN_FRAME);
            assertThat(refused).hasMessageContaining("longer than 1000 bytes");
        }
    }

    @Test
    void should_refuse_when_the_length_prefix_never_ends() {
        try (FrameCodec<Envelope> codec = new FrameCodec<>(Envelope.getDefaultInstance(), LIMIT)) {
            byte[] endless = {(byte) 0x80, (byte) 0x80, (byte) 0x80, (byte) 0x80, (byte) 0x80};
            assertThat(received(codec, endless).fault()).isEqualTo(WireFault.BROKEN_FRAME);
        }
    }

    @Test
    void should_refuse_when_a_frame_holds_no_message() {
        try (FrameCodec<Envelope> codec = new FrameCodec<>(Envelope.getDefaultInstance(), LIMIT)) {
            assertThat(received(codec, new byte[] {3, 0x0a, 0x7f, 0x01}).fault().endsLink())
                    .isTrue();
        }
    }
}
