package org.verbenamast.wire;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenamast.core.gate.crash.CrashNoticeKind;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.gate.crash.Suspicion;
import org.verbenamast.core.gate.runs.KeptRun;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.message.RowVersion;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.GrantOrigin;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.request.Body;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.Header;
import org.verbenamast.core.request.Method;
import org.verbenamast.core.request.NotRunReason;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.request.UnknownReason;
import org.verbenamast.core.store.Row;
import org.verbenamast.wire.generated.Envelope;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class PeerCodecTest {

    private static final ServiceName STOCK = new ServiceName("stock");
    private static final MemberId SENDER = new MemberId("stock-1", 7);
    private static final MemberId OTHER = new MemberId("stock-2", -9);
    private static final RequestId ID = new RequestId(SENDER, 42);

    static List<PeerMessage> messages() {
        Header header = new Header("Accept", "text/plain");
        Body body = new Body(new byte[] {1, 2, 3});
        CallerRequest request =
                new CallerRequest(STOCK, "key", Method.POST, "/a?b=c", List.of(header), body, "once", "00-1-2-01");
        return List.of(
                new PeerMessage.Forward(ID, 2, request, 5),
                new PeerMessage.Ended(ID, 1, new RequestOutcome.Answered(200, List.of(header), body)),
                new PeerMessage.Ended(ID, 2, new RequestOutcome.NotRun(NotRunReason.OVERLOADED)),
                new PeerMessage.Ended(ID, 3, new RequestOutcome.Unknown(UnknownReason.LINK_LOST)),
                new PeerMessage.Cancel(ID, 4),
                new PeerMessage.LeaseRequest(OTHER, -5),
                new PeerMessage.LeaseReply(-5, true),
                new PeerMessage.Seal(OTHER, SENDER),
                new PeerMessage.SealReply(SENDER, true, 12),
                new PeerMessage.RowPush(List.of(memberRow(), chunkRow())),
                new PeerMessage.DigestOffer(List.of(1L, -2L)),
                new PeerMessage.BucketVersions(
                        List.of(3), List.of(new RowVersion(memberRow().key(), 4))),
                new PeerMessage.RowRequest(List.of(chunkRow().key())),
                new PeerMessage.CrashQuery(),
                new PeerMessage.CrashHistory(
                        List.of(new Suspicion(new Fingerprint(5), List.of("open"), List.of("crash", "crash 2")))),
                new PeerMessage.CrashNotice(List.of(new Fingerprint(-3)), "stock-1~7/start", CrashNoticeKind.CONFIRMED),
                new PeerMessage.RunRecords(
                        new SliceId(STOCK, 5),
                        9,
                        1,
                        2,
                        List.of(new KeptRun("once", ID, new RequestOutcome.Answered(200, List.of(header), body)))));
    }

    private static Row memberRow() {
        MemberRow member = new MemberRow(
                SENDER,
                STOCK,
                new Zone("jkt"),
                new Address("127.0.0.1", 9),
                MemberStatus.ACTIVE,
                List.of(OTHER),
                "start",
                10,
                "op");
        return new Row(MemberRow.keyOf(SENDER), 3, member);
    }

    private static Row chunkRow() {
        SliceGrant owned = new SliceGrant(SENDER, 2, GrantOrigin.TAKEN_OVER);
        ChunkRow chunk = new ChunkRow(STOCK, 1, List.of(SliceGrant.VACANT, owned), "op");
        return new Row(ChunkRow.keyOf(STOCK, 1), 8, chunk);
    }

    @ParameterizedTest
    @MethodSource("messages")
    void should_read_what_was_written_when_a_message_is_of_any_kind(PeerMessage message) throws WireException {
        PeerCodec.Received received = PeerCodec.decode(PeerCodec.encode(SENDER, message));
        assertThat(received.from()).isEqualTo(SENDER);
        assertThat(received.message()).isEqualTo(message);
    }

    @Test
    void should_refuse_the_row_and_take_the_others_when_a_row_can_not_be_read() throws WireException {
        Envelope good = PeerCodec.encode(SENDER, new PeerMessage.RowPush(List.of(memberRow(), chunkRow())));
        Envelope.Builder bad = good.toBuilder();
        bad.getRowPushBuilder().getRowsBuilder(0).setValue(ByteString.copyFromUtf8("{"));
        PeerCodec.Received received = PeerCodec.decode(bad.build());
        assertThat(received.message()).isEqualTo(new PeerMessage.RowPush(List.of(chunkRow())));
        assertThat(received.refused()).extracting(WireException::fault).containsExactly(WireFault.UNREADABLE_ROW);
    }

    @Test
    void should_read_the_other_versions_when_one_is_of_an_unknown_table() throws WireException {
        RowVersion known = new RowVersion(memberRow().key(), 4);
        Envelope good = PeerCodec.encode(SENDER, new PeerMessage.BucketVersions(List.of(3), List.of(known, known)));
        Envelope.Builder newer = good.toBuilder();
        newer.getBucketVersionsBuilder().getVersionsBuilder(0).getKeyBuilder().setTable("TIDES");
        PeerCodec.Received received = PeerCodec.decode(newer.build());
        assertThat(received.message()).isEqualTo(new PeerMessage.BucketVersions(List.of(3), List.of(known)));
        assertThat(received.refused()).extracting(WireException::fault).containsExactly(WireFault.UNREADABLE_ROW);
    }

    @Test
    void should_read_the_other_rows_of_a_reply_when_one_can_not_be_read() throws WireException {
        String good = "{\"table\": \"CHUNKS\", \"id\": \"stock.1\", \"version\": 8, \"value\": "
                + new String(RowJson.write(chunkRow().value()), StandardCharsets.UTF_8) + "}";
        String bad = "{\"table\": \"CHUNKS\", \"id\": \"stock.2\", \"version\": 8, \"value\": {\"chunk\": -1}}";
        String reply = "{\"rows\": [" + bad + ", " + good + "]}";
        ReadRows read = RowJson.readReply(reply.getBytes(StandardCharsets.UTF_8));
        assertThat(read.rows()).containsExactly(chunkRow());
        assertThat(read.refused()).extracting(WireException::fault).containsExactly(WireFault.UNREADABLE_ROW);
    }

    @Test
    void should_refuse_when_the_kind_is_unknown() {
        Envelope envelope = Envelope.newBuilder()
                .setFrom(ModelCodec.encode(SENDER))
                .setUnknownFields(com.google.protobuf.UnknownFieldSet.newBuilder()
                        .addField(
                                999,
                                com.google.protobuf.UnknownFieldSet.Field.newBuilder()
                                        .addVarint(1)
                                        .build())
                        .build())
                .build();
        WireException refused = catchThrowableOfType(WireException.class, () -> PeerCodec.decode(envelope));
        assertThat(refused.fault()).isEqualTo(WireFault.UNKNOWN_KIND);
        assertThat(refused.fault().endsLink()).isFalse();
    }

    @Test
    void should_refuse_when_the_sender_is_missing() {
        WireException refused =
                catchThrowableOfType(WireException.class, () -> PeerCodec.decode(Envelope.getDefaultInstance()));
        assertThat(refused.fault()).isEqualTo(WireFault.MALFORMED);
    }

    @Test
    void should_refuse_when_a_value_is_not_allowed() {
        Envelope.Builder envelope = PeerCodec.encode(SENDER, messages().get(0)).toBuilder();
        envelope.getForwardBuilder().setMethod("BREW");
        WireException refused = catchThrowableOfType(WireException.class, () -> PeerCodec.decode(envelope.build()));
        assertThat(refused.fault()).isEqualTo(WireFault.MALFORMED);
    }
}
