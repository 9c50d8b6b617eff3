package org.verbenamast.relay.caller;

import java.io.IOException;
import java.net.Socket;

import com.google.protobuf.ByteString;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.generated.RelayAnswer;
import org.verbenamast.wire.generated.RelayEnd;
import org.verbenamast.wire.generated.RelayFailed;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.relay.RelayFrames;

/** How the node beside a server ends a request. */
enum PipelinedEnding {
    ANSWER {
        @Override
        void send(Socket link, FrameCodec<RelayFrame> codec, String id) throws IOException {
            beginAnswer(link, codec, id, id.length());
            CallerFixture.send(link, codec, data(id));
            end(link, codec);
        }
    },
    LARGE_ANSWER {
        @Override
        void send(Socket link, FrameCodec<RelayFrame> codec, String id) throws IOException {
            beginAnswer(link, codec, id, LARGE_BYTES);
            for (int sent = 0; sent < LARGE_BYTES; sent += CallerFixture.PIECE_BYTES) {
                CallerFixture.send(link, codec, data(id.repeat(CallerFixture.PIECE_BYTES / id.length())));
            }
            end(link, codec);
        }
    },
    REFUSAL {
        @Override
        void send(Socket link, FrameCodec<RelayFrame> codec, String id) throws IOException {
            CallerFixture.send(
                    link, codec, RelayFrames.refused(Refusal.SHED, 0, CallerFixture.IDLE, StoreVersions.NONE));
        }
    },
    FAILURE {
        @Override
        void send(Socket link, FrameCodec<RelayFrame> codec, String id) throws IOException {
            CallerFixture.send(
                    link,
                    codec,
                    RelayFrame.newBuilder()
                            .setFailed(RelayFailed.getDefaultInstance())
                            .build());
        }
    },
    BROKEN_ANSWER {
        @Override
        void send(Socket link, FrameCodec<RelayFrame> codec, String id) throws IOException {
            beginAnswer(link, codec, id, LARGE_BYTES);
            for (int sent = 0; sent < LARGE_BYTES / 2; sent += CallerFixture.PIECE_BYTES) {
                CallerFixture.send(link, codec, data(id.repeat(CallerFixture.PIECE_BYTES / id.length())));
            }
            link.close();
        }
    };

    static final int LARGE_BYTES = 512 * 1024;

    abstract void send(Socket link, FrameCodec<RelayFrame> codec, String id) throws IOException;

    private static void beginAnswer(Socket link, FrameCodec<RelayFrame> codec, String id, int length)
            throws IOException {
        RelayAnswer.Builder head = RelayAnswer.newBuilder()
                .setStatus(200)
                .setBodyLength(length)
                .setLoad(RelayFrames.load(CallerFixture.IDLE, StoreVersions.NONE));
        head.addFieldsBuilder().setName(RequestFields.ATTEMPT_ID).setValue(id);
        CallerFixture.send(link, codec, RelayFrame.newBuilder().setAnswer(head).build());
    }

    private static RelayFrame data(String text) {
        return RelayFrame.newBuilder().setData(ByteString.copyFromUtf8(text)).build();
    }

    private static void end(Socket link, FrameCodec<RelayFrame> codec) throws IOException {
        CallerFixture.send(
                link,
                codec,
                RelayFrame.newBuilder().setEnd(RelayEnd.getDefaultInstance()).build());
    }
}
