package org.verbenamast.node.loop;

import org.verbenamast.core.effect.Effect;

/** Carries out what decisions want done outside. */
@FunctionalInterface
public interface EffectRunner {

    /**
     * Carries out an effect, without waiting for anything.
     *
     * @param effect the effect
     */
    void run(Effect effect);
}
