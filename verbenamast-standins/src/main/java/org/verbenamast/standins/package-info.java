/** Part of verbenamast. */
package org.verbenamast.standins;
