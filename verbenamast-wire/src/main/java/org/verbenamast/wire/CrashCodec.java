package org.verbenamast.wire;

import org.verbenamast.core.gate.crash.CrashNoticeKind;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.gate.crash.Suspicion;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.wire.generated.CrashHistory;
import org.verbenamast.wire.generated.CrashNotice;

/** Maps what is held against requests that crash backend servers to protobuf and back. */
final class CrashCodec {

    private CrashCodec() {}

    static CrashNotice encode(PeerMessage.CrashNotice notice) {
        return CrashNotice.newBuilder()
                .addAllFingerprints(PeerCodec.map(notice.fingerprints(), Fingerprint::value))
                .setIncident(notice.incident())
                .setNews(notice.kind().name())
                .build();
    }

    static PeerMessage.CrashNotice decode(CrashNotice notice) {
        return new PeerMessage.CrashNotice(
                PeerCodec.map(notice.getFingerprintsList(), Fingerprint::new),
                notice.getIncident(),
                CrashNoticeKind.valueOf(notice.getNews()));
    }

    static CrashHistory encode(PeerMessage.CrashHistory history) {
        return CrashHistory.newBuilder()
                .addAllSuspicions(PeerCodec.map(history.suspicions(), CrashCodec::encode))
                .build();
    }

    private static org.verbenamast.wire.generated.Suspicion encode(Suspicion suspicion) {
        return org.verbenamast.wire.generated.Suspicion.newBuilder()
                .setFingerprint(suspicion.fingerprint().value())
                .addAllOpen(suspicion.open())
                .addAllCrashed(suspicion.crashed())
                .build();
    }

    static PeerMessage.CrashHistory decode(CrashHistory history) {
        return new PeerMessage.CrashHistory(PeerCodec.map(
                history.getSuspicionsList(),
                one -> new Suspicion(new Fingerprint(one.getFingerprint()), one.getOpenList(), one.getCrashedList())));
    }
}
