package org.verbenamast.core.effect;

/** The sink into which decisions emit what is to be done outside. */
@FunctionalInterface
public interface Effects {

    /**
     * Takes one effect; effects are carried out in the order in which they were emitted.
     *
     * @param effect the effect
     */
    void emit(Effect effect);
}
