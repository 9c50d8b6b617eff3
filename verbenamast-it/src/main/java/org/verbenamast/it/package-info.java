/** Part of verbenamast. */
package org.verbenamast.it;
