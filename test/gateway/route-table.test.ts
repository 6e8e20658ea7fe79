import { describe, expect, test } from '@jest/globals'
import { chooseService, RouteTable } from '../../src/gateway/route-table.js'
import { configuration, route } from './gateway-fixtures.js'

const table = new RouteTable(configuration({
  routes: [
    route({ name: 'all', pathPrefix: '/' }),
    route({ name: 'a', pathPrefix: '/a/' }),
    route({ name: 'ab', pathPrefix: '/a/b/' }),
    route({ name: 'other', host: 'other.example', pathPrefix: '/x/' })
  ]
}))

describe('RouteTable', () => {
  test.each([
    ['h.example', '/a/b/c', 'ab'],
    ['H.Example:8080', '/a/c', 'a'],
    ['h.example', '/ab/c', 'all'],
    ['h.example', '/a', 'all'],
    ['other.example', '/x/', 'other'],
    ['other.example', '/x', undefined],
    ['unknown.example', '/a/', undefined]
  ])('selects the route with the longest matching prefix for %s%s', (host, path, name) => {
    expect(table.select(host, path)?.name).toBe(name)
  })
})

describe('chooseService', () => {
  test('splits requests by weight and chooses the last service if the random value is out of range', () => {
    const split = route({ services: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] })
    expect([0, 0.89, 0.9, 0.999, 1].map((random) => chooseService(split, random))).toEqual(['a', 'a', 'b', 'b', 'b'])
  })
})
