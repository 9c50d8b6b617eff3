/** What decisions want done outside. */
package org.verbenamast.core.effect;
