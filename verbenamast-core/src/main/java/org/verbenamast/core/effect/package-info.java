/** The actions that decisions request of the process around them: messages, calls, answers. */
package org.verbenamast.core.effect;
