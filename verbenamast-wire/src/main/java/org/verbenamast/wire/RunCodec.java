package org.verbenamast.wire;

import java.util.ArrayList;
import java.util.List;

import org.verbenamast.core.gate.runs.KeptRun;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.wire.generated.RunRecords;

/** Maps the records of non-idempotent requests to protobuf and back. */
final class RunCodec {

    private static final int ATTEMPT_NOT_KEPT = 1;

    private RunCodec() {}

    static RunRecords encode(PeerMessage.RunRecords records) {
        return RunRecords.newBuilder()
                .setService(records.slice().service().value())
                .setSlice(records.slice().number())
                .setEpoch(records.epoch())
                .setPart(records.part())
                .setParts(records.parts())
                .addAllRuns(PeerCodec.map(records.runs(), RunCodec::encode))
                .build();
    }

    private static org.verbenamast.wire.generated.KeptRun encode(KeptRun run) {
        return org.verbenamast.wire.generated.KeptRun.newBuilder()
                .setIdempotencyKey(run.idempotencyKey())
                .setEnded(RequestCodec.encode(new PeerMessage.Ended(run.id(), ATTEMPT_NOT_KEPT, run.outcome())))
                .build();
    }

    static PeerMessage.RunRecords decode(RunRecords records) throws WireException {
        List<KeptRun> runs = new ArrayList<>(records.getRunsCount());
        for (org.verbenamast.wire.generated.KeptRun run : records.getRunsList()) {
            PeerMessage.Ended ended = RequestCodec.decode(run.getEnded());
            runs.add(new KeptRun(run.getIdempotencyKey(), ended.id(), ended.outcome()));
        }
        SliceId slice = new SliceId(new ServiceName(records.getService()), records.getSlice());
        return new PeerMessage.RunRecords(slice, records.getEpoch(), records.getPart(), records.getParts(), runs);
    }
}
