package org.verbenamast.wire;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.wire.generated.Member;

/** Maps the smallest records to protobuf and back. */
final class ModelCodec {

    private ModelCodec() {}

    static Member encode(MemberId member) {
        return Member.newBuilder()
                .setNode(member.node())
                .setIncarnation(member.incarnation())
                .build();
    }

    static MemberId decode(Member member) {
        return new MemberId(member.getNode(), member.getIncarnation());
    }

    static org.verbenamast.wire.generated.RequestId encode(RequestId id) {
        return org.verbenamast.wire.generated.RequestId.newBuilder()
                .setEntry(encode(id.entry()))
                .setSequence(id.sequence())
                .build();
    }

    static RequestId decode(org.verbenamast.wire.generated.RequestId id) {
        return new RequestId(decode(id.getEntry()), id.getSequence());
    }
}
