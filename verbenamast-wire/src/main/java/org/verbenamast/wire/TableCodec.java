package org.verbenamast.wire;

import com.google.protobuf.ByteString;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.table.MarkRow;
import org.verbenamast.wire.generated.MarkPush;

/** Maps operators' marks to protobuf and back. */
final class TableCodec {

    private TableCodec() {}

    static MarkPush encode(PeerMessage.MarkPush push) {
        return MarkPush.newBuilder()
                .setMark(ByteString.copyFrom(RowJson.write(push.mark())))
                .build();
    }

    static PeerMessage.MarkPush decode(MarkPush push) throws WireException {
        return new PeerMessage.MarkPush(OperatorJson.read(push.getMark().toByteArray(), MarkRow.class));
    }
}
