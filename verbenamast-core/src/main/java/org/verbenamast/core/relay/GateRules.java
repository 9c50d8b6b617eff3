package org.verbenamast.core.relay;

import org.verbenamast.core.admission.AdmissionRules;
import org.verbenamast.core.gate.crash.CrashReportController;
import org.verbenamast.core.keys.KeyController;

/** The conditions of admission that other parts of the node decide. */
record GateRules(Evacuation evacuation, KeyController keys, CrashReportController crashReports)
        implements AdmissionRules {

    @Override
    public boolean isEvacuated(boolean keyed, long now) {
        return evacuation.refuses(keyed, now);
    }

    @Override
    public boolean isGranted(int key, long now) {
        return keys.isGranted(key, now);
    }

    @Override
    public boolean isExpected(int key, long now) {
        return keys.isExpected(key, now);
    }

    @Override
    public boolean isSuspect(long id, long now) {
        return crashReports.isStopped(id, now);
    }
}
