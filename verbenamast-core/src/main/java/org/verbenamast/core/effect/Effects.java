package org.verbenamast.core.effect;

/** Receives the effects that decisions emit. */
@FunctionalInterface
public interface Effects {

    /**
     * Accepts an effect. Effects are executed in the order in which they were emitted.
     *
     * @param effect the effect to execute
     */
    void emit(Effect effect);
}
