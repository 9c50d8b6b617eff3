package org.verbenamast.core.admission;

/** Rules that never refuse a request. */
public final class AllPermitted implements AdmissionRules {

    @Override
    public boolean isEvacuated(boolean keyed, long now) {
        return false;
    }

    @Override
    public boolean isGranted(int key, long now) {
        return true;
    }

    @Override
    public boolean isExpected(int key, long now) {
        return true;
    }

    @Override
    public boolean isSuspect(long id, long now) {
        return false;
    }
}
